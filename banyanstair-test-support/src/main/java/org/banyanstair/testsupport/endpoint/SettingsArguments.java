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

/** Reads the settings record of a stand-in from the command line, as {@code --set name=value}. */
public final class SettingsArguments {
    private SettingsArguments() {}

    /**
     * Overrides fields of a settings record.
     *
     * @param <T> type of the record
     * @param arguments the command line
     * @param defaults settings to start from
     * @return the settings
     * @throws IllegalArgumentException if the command line, a name or a value is not accepted
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
