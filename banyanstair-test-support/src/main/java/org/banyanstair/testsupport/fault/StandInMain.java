package org.banyanstair.testsupport.fault;

import java.io.IOException;
import java.net.Proxy;
import java.net.URI;
import java.net.URLConnection;
import java.util.Map;
import java.util.function.Function;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.banyanstair.model.NetworkAddress;
import org.tinylog.Logger;
import org.tinylog.configuration.Configuration;

/** Shared part of the main methods of the stand-ins. */
public final class StandInMain {
    private static final int USAGE_ERROR_EXIT_STATUS = 2;
    private static final int WARM_UP_TIMEOUT_MILLIS = 5_000;

    private StandInMain() {}

    /**
     * Parses the arguments, starts the stand-in and prints {@code ready ADDRESS} on standard output. Log lines go to
     * standard error, so that standard output holds nothing else.
     *
     * @param arguments arguments of the main method
     * @param options long options of the stand-in by name, with their descriptions; {@code --port} is added
     * @param starter starts the stand-in and returns its address
     */
    public static void run(
            String[] arguments, Map<String, String> options, Function<CommandLine, NetworkAddress> starter) {
        Configuration.set("level", "info");
        Configuration.set("writer", "console");
        Configuration.set("writer.stream", "err");
        try {
            NetworkAddress address = starter.apply(new DefaultParser().parse(buildOptions(options), arguments));
            warmUp(address);
            System.out.println("ready " + address);
        } catch (ParseException | IllegalArgumentException exception) {
            System.err.println(exception.getMessage());
            System.exit(USAGE_ERROR_EXIT_STATUS);
        }
    }

    /** The first answer of a new process takes several hundred milliseconds, longer than some deadlines under test. */
    private static void warmUp(NetworkAddress address) {
        try {
            URLConnection connection =
                    URI.create("http://" + address + "/faults").toURL().openConnection(Proxy.NO_PROXY);
            connection.setConnectTimeout(WARM_UP_TIMEOUT_MILLIS);
            connection.setReadTimeout(WARM_UP_TIMEOUT_MILLIS);
            connection.getInputStream().readAllBytes();
        } catch (IOException exception) {
            Logger.warn(exception, "warm-up request failed");
        }
    }

    private static Options buildOptions(Map<String, String> descriptions) {
        Options options = new Options();
        options.addOption(option("port", "TCP port, 0 for a free one"));
        descriptions.forEach((name, description) -> options.addOption(option(name, description)));
        return options;
    }

    private static Option option(String name, String description) {
        return Option.builder().longOpt(name).hasArg().desc(description).build();
    }

    /**
     * Returns a whole number from the command line.
     *
     * @param line the command line
     * @param name name of the option
     * @param absent value if the option is absent
     * @return the number
     */
    public static int intOption(CommandLine line, String name, int absent) {
        return Integer.parseInt(line.getOptionValue(name, Integer.toString(absent)));
    }
}
