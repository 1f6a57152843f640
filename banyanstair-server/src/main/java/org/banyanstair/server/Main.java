package org.banyanstair.server;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ResourceBundle;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.banyanstair.errors.FailureText;
import org.banyanstair.server.daemon.Daemon;
import org.banyanstair.server.settings.DaemonSettings;
import org.banyanstair.server.settings.DaemonSettingsReader;
import org.banyanstair.toml.TomlResult;
import org.tinylog.configuration.Configuration;

/** Entry point of {@code banyanstaird}. */
public final class Main {
    private static final ResourceBundle TEXTS = ResourceBundle.getBundle("org.banyanstair.server.texts");

    private Main() {}

    /** Runs the daemon until a stop is requested. */
    public static void main(String[] arguments) {
        ExitCode code = run(arguments);
        // Runtime.halt skips the shutdown hook, which waits for this thread after a signal.
        System.out.flush();
        Runtime.getRuntime().halt(code.value());
    }

    private static ExitCode run(String[] arguments) {
        Options options = options();
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            if (line.hasOption("help")) {
                new HelpFormatter()
                        .printHelp(TEXTS.getString("usage"), TEXTS.getString("purpose"), options, exitCodes());
                return ExitCode.STOPPED;
            }
            if (line.hasOption("version")) {
                System.out.println(TEXTS.getString("version"));
                return ExitCode.STOPPED;
            }
            if (!line.hasOption("settings") || !line.getArgList().isEmpty()) {
                return usageError(TEXTS.getString("settings-missing"));
            }
            return run(DaemonSettingsReader.read(Path.of(line.getOptionValue("settings"))));
        } catch (ParseException exception) {
            return usageError(exception.getMessage());
        }
    }

    private static Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("settings")
                        .hasArg()
                        .argName("FILE")
                        .desc(TEXTS.getString("option.settings"))
                        .build())
                .addOption(Option.builder()
                        .longOpt("help")
                        .desc(TEXTS.getString("option.help"))
                        .build())
                .addOption(Option.builder()
                        .longOpt("version")
                        .desc(TEXTS.getString("option.version"))
                        .build());
    }

    private static String exitCodes() {
        StringBuilder text = new StringBuilder(TEXTS.getString("exit-codes"));
        for (ExitCode code : ExitCode.values()) {
            text.append(System.lineSeparator())
                    .append(code.value())
                    .append("  ")
                    .append(TEXTS.getString("exit-code." + code.value()));
        }
        return text.toString();
    }

    private static ExitCode usageError(String message) {
        System.err.println(message);
        System.err.println(TEXTS.getString("see-help"));
        return ExitCode.INVALID;
    }

    private static ExitCode run(TomlResult<DaemonSettings> settings) {
        if (settings instanceof TomlResult.Valid<DaemonSettings> valid) {
            return serve(valid.value());
        }
        PrintStream errors = System.err;
        settings.failures().forEach(failure -> errors.println(FailureText.of(failure)));
        return ExitCode.INVALID;
    }

    private static ExitCode serve(DaemonSettings settings) {
        configureLog(settings.log());
        try {
            Daemon daemon = new Daemon(settings);
            Thread main = Thread.currentThread();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, main), "stop"));
            daemon.start();
            daemon.awaitReady();
            System.out.println("ready host=" + settings.host().id() + " caller=http://"
                    + settings.listen().caller() + " operator=http://"
                    + settings.listen().operator());
            daemon.awaitStop();
            return daemon.drainAndStop() ? ExitCode.STOPPED : ExitCode.CUT_OFF;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        } catch (Exception exception) {
            // Netty throws undeclared checked exceptions, for example if an address is already in use.
            System.err.println(exception.getMessage());
            return ExitCode.FAILED;
        }
    }

    private static void stop(Daemon daemon, Thread main) {
        daemon.requestStop();
        try {
            main.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static void configureLog(DaemonSettings.Log log) {
        Configuration.set("level", log.level().name());
        Configuration.set("writer.format", "{date: yyyy-MM-dd'T'HH:mm:ss.SSS} {level} {message}");
        if (log.file().isPresent()) {
            Configuration.set("writer", "file");
            Configuration.set("writer.file", log.file().get().toString());
            Configuration.set("writer.append", "true");
        } else {
            Configuration.set("writer", "console");
            Configuration.set("writer.stream", "err");
        }
    }
}
