package org.banyanstair.testsupport.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Properties;

import com.fasterxml.jackson.core.type.TypeReference;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.banyanstair.codec.Mappers;

/** Parses the settings record of a stand-in from command line arguments {@code --set name=value}. */
public final class SettingsArguments {
    private SettingsArguments() {}

    /**
     * Returns a settings record with the values from the command line.
     *
     * @param arguments command line arguments
     * @param defaults values of the settings that are not given
     * @throws IllegalArgumentException if an option or a value is invalid
     */
    public static <T> T parse(String[] arguments, T defaults) {
        Options options = new Options();
        options.addOption(Option.builder("s")
                .longOpt("set")
                .numberOfArgs(2)
                .valueSeparator('=')
                .desc("name=value of one setting")
                .build());
        try {
            Properties properties =
                    new DefaultParser().parse(options, arguments).getOptionProperties("set");
            Map<String, Object> values = new LinkedHashMap<>(
                    Mappers.JSON.convertValue(defaults, new TypeReference<Map<String, Object>>() {}));
            properties.stringPropertyNames().forEach(name -> values.put(name, properties.getProperty(name)));
            @SuppressWarnings("unchecked")
            Class<T> type = (Class<T>) defaults.getClass();
            return Mappers.JSON.convertValue(values, type);
        } catch (ParseException exception) {
            throw new IllegalArgumentException(exception.getMessage(), exception);
        }
    }
}
