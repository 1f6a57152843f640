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

/** Common main method of the platform stand-ins. */
public final class StandInMain {
    private static final int USAGE_ERROR_EXIT_STATUS = 2;
    private static final int WARM_UP_TIMEOUT_MILLIS = 5_000;

    private StandInMain() {}

    /**
     * Parses the arguments, starts the stand-in and prints {@code ready ADDRESS} on standard output, which holds
     * nothing else. Log lines go to standard error.
     *
     * @param options descriptions of the long options by name; {@code --port} is added
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

    /**
     * Sends a first request, which takes several hundred milliseconds in a new process and would exceed some deadlines
     * under test.
     */
    private static void warmUp(NetworkAddress address) {
        try {
            URLConnection connection =
                    URI.create("http://" + address + "/faults").toURL().openConnection(Proxy.NO_PROXY);
            connection.setConnectTimeout(WARM_UP_TIMEOUT_MILLIS);
            connection.setReadTimeout(WARM_UP_TIMEOUT_MILLIS);
            connection.getInputStream().readAllBytes();
        } catch (IOException exception) {
            Logger.warn(exception, "warm-up request to the stand-in failed; its first response may be slow");
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
     * Returns an integer option of the command line.
     *
     * @param absent value returned if the option is absent
     */
    public static int intOption(CommandLine line, String name, int absent) {
        return Integer.parseInt(line.getOptionValue(name, Integer.toString(absent)));
    }
}
