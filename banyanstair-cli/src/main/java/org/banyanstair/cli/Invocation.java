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

/** The values of a parsed command line. */
final class Invocation {
    private static final String OPERATOR_VARIABLE = "BANYANSTAIR_OPERATOR";
    private static final String KEY_VARIABLE = "BANYANSTAIR_OPERATOR_KEY";

    private final Console console;
    private final CommandLine global;
    private final CommandLine own;
    private final Function<String, Optional<String>> environment;

    Invocation(Console console, CommandLine global, CommandLine own, Function<String, Optional<String>> environment) {
        this.console = console;
        this.global = global;
        this.own = own;
        this.environment = environment;
        value(GlobalOptions.OUTPUT)
                .filter(format -> !format.equals("text") && !format.equals("json"))
                .ifPresent(format -> {
                    throw reject("--output", "text or json");
                });
    }

    Console console() {
        return console;
    }

    String argument() {
        return own.getArgList().get(0);
    }

    boolean has(String option) {
        return own.hasOption(option);
    }

    /** Returns the value of an option; one after the command wins over one before it. */
    Optional<String> value(String option) {
        return Optional.ofNullable(own.getOptionValue(option))
                .or(() -> Optional.ofNullable(global.getOptionValue(option)));
    }

    /** Returns all values of an option of the command. */
    List<String> values(String option) {
        return own.hasOption(option) ? List.of(own.getOptionValues(option)) : List.of();
    }

    Optional<Long> number(String option, long minimum, long maximum) {
        return value(option).map(text -> {
            try {
                long number = Long.parseLong(text);
                if (number >= minimum && number <= maximum) {
                    return number;
                }
            } catch (NumberFormatException exception) {
                throw reject("--" + option, "a whole number from " + minimum + " to " + maximum);
            }
            throw reject("--" + option, "a whole number from " + minimum + " to " + maximum);
        });
    }

    OperatorClient client() {
        String addresses = value(GlobalOptions.OPERATOR)
                .or(() -> environment.apply(OPERATOR_VARIABLE))
                .orElseThrow(() -> reject("--operator", "present, or the variable " + OPERATOR_VARIABLE + " set"));
        return new OperatorClient(addresses(addresses), key());
    }

    private static List<HttpUrl> addresses(String text) {
        return Arrays.stream(text.split(",")).map(Invocation::address).toList();
    }

    private static HttpUrl address(String text) {
        return Optional.ofNullable(HttpUrl.parse(text.strip()))
                .orElseThrow(() -> reject("--operator", "URLs such as http://127.0.0.1:8081, separated by commas"));
    }

    private String key() {
        String key = value(GlobalOptions.KEY_FILE)
                .map(Invocation::readKey)
                .or(() -> environment.apply(KEY_VARIABLE))
                .map(String::strip)
                .orElseThrow(() -> reject("--key-file", "present, or the variable " + KEY_VARIABLE + " set"));
        // Other characters cannot be sent in a header.
        if (!key.matches("[\\x21-\\x7e]+")) {
            throw reject("the operator's key", "one line of visible ASCII characters");
        }
        return key;
    }

    private static String readKey(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException | InvalidPathException exception) {
            throw reject("--key-file", "a readable file");
        }
    }

    private static FailureException reject(String field, String accepted) {
        return new FailureException(new Failure.InvalidField(field, accepted));
    }
}
