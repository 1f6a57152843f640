package org.banyanstair.cli;

import java.util.stream.Collectors;

import org.apache.commons.cli.MissingArgumentException;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.UnrecognizedOptionException;
import org.banyanstair.errors.Failure;

/** Converts exceptions of the command-line parser to failures. */
final class UsageFailures {
    private UsageFailures() {}

    static Failure of(ParseException exception, Options options) {
        if (exception instanceof UnrecognizedOptionException unrecognized) {
            return new Failure.InvalidField(unrecognized.getOption(), "a known option, one of " + names(options));
        }
        if (exception instanceof MissingArgumentException missing) {
            return new Failure.InvalidField(name(missing.getOption()), "followed by a value");
        }
        return new Failure.InvalidField("the command line", "in the format that --help describes");
    }

    private static String names(Options options) {
        return options.getOptions().stream().map(UsageFailures::name).collect(Collectors.joining(", "));
    }

    private static String name(Option option) {
        return "--" + option.getLongOpt();
    }
}
