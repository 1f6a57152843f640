package org.banyanstair.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import okhttp3.HttpUrl;
import org.apache.commons.cli.CommandLine;
import org.banyanstair.cli.operator.OperatorClient;
import org.banyanstair.cli.output.Console;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/** Typed access to the options and arguments of a parsed command line. */
final class Invocation {
    private static final String OPERATOR_VARIABLE = "BANYANSTAIR_OPERATOR";
    private static final String KEY_VARIABLE = "BANYANSTAIR_OPERATOR_KEY";

    private final Console console;
    private final CommandLine globalArguments;
    private final CommandLine commandArguments;
    private final Function<String, Optional<String>> environment;

    Invocation(
            Console console,
            CommandLine globalArguments,
            CommandLine commandArguments,
            Function<String, Optional<String>> environment) {
        this.console = console;
        this.globalArguments = globalArguments;
        this.commandArguments = commandArguments;
        this.environment = environment;
        value(GlobalOptions.OUTPUT)
                .filter(format -> !format.equals("text") && !format.equals("json"))
                .ifPresent(format -> {
                    throw invalidField("--output", "text or json");
                });
    }

    Console console() {
        return console;
    }

    String argument() {
        return commandArguments.getArgList().get(0);
    }

    boolean has(String option) {
        return commandArguments.hasOption(option);
    }

    /** Returns the value of an option; a value after the command takes precedence over one before it. */
    Optional<String> value(String option) {
        return Optional.ofNullable(commandArguments.getOptionValue(option))
                .or(() -> Optional.ofNullable(globalArguments.getOptionValue(option)));
    }

    /** Returns all values of a multi-value option of the command. */
    List<String> values(String option) {
        return commandArguments.hasOption(option) ? List.of(commandArguments.getOptionValues(option)) : List.of();
    }

    Optional<Long> numberInRange(String option, long minimum, long maximum) {
        return value(option).map(text -> {
            try {
                long number = Long.parseLong(text);
                if (number >= minimum && number <= maximum) {
                    return number;
                }
            } catch (NumberFormatException exception) {
                throw invalidField("--" + option, "a whole number from " + minimum + " to " + maximum);
            }
            throw invalidField("--" + option, "a whole number from " + minimum + " to " + maximum);
        });
    }

    OperatorClient createClient() {
        String addresses = value(GlobalOptions.OPERATOR)
                .or(() -> environment.apply(OPERATOR_VARIABLE))
                .orElseThrow(
                        () -> invalidField("--operator", "present, or the variable " + OPERATOR_VARIABLE + " set"));
        return new OperatorClient(addresses(addresses), operatorKey());
    }

    private static List<HttpUrl> addresses(String text) {
        return Arrays.stream(text.split(",")).map(Invocation::address).toList();
    }

    private static HttpUrl address(String text) {
        return Optional.ofNullable(HttpUrl.parse(text.strip()))
                .orElseThrow(
                        () -> invalidField("--operator", "URLs such as http://127.0.0.1:8081, separated by commas"));
    }

    private String operatorKey() {
        String key = value(GlobalOptions.KEY_FILE)
                .map(Invocation::readKey)
                .or(() -> environment.apply(KEY_VARIABLE))
                .map(String::strip)
                .orElseThrow(() -> invalidField("--key-file", "present, or the variable " + KEY_VARIABLE + " set"));
        // Only visible ASCII is valid in the Authorization header.
        if (!key.matches("[\\x21-\\x7e]+")) {
            throw invalidField("the operator's key", "one line of visible ASCII characters");
        }
        return key;
    }

    private static String readKey(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException | InvalidPathException exception) {
            throw invalidField("--key-file", "a readable file");
        }
    }

    private static FailureException invalidField(String field, String accepted) {
        return new FailureException(new Failure.InvalidField(field, accepted));
    }
}
