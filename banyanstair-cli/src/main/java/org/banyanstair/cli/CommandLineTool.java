package org.banyanstair.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.banyanstair.cli.output.Console;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/** Parses a command line and runs the command. */
public final class CommandLineTool {
    private final Function<String, Optional<String>> environment;
    private final PrintStream out;
    private final PrintStream err;
    private final boolean interactive;

    /**
     * Creates the tool.
     *
     * @param environment environment variables by name
     * @param interactive whether the tool runs in a terminal, so that progress is shown
     */
    public CommandLineTool(
            Function<String, Optional<String>> environment, PrintStream out, PrintStream err, boolean interactive) {
        this.environment = environment;
        this.out = out;
        this.err = err;
        this.interactive = interactive;
    }

    /** Runs one command and prints its failure, if any. */
    public ExitCode run(String... arguments) {
        Console console = new Console(out, err, requestedFormat(arguments), interactive);
        try {
            return execute(console, arguments);
        } catch (FailureException exception) {
            console.printFailures(List.of(exception.failure()));
            return ExitCode.of(exception.failure());
        }
    }

    private ExitCode execute(Console console, String... arguments) {
        CommandLine globalArguments = parse(GlobalOptions.options(), arguments, true);
        List<String> words = globalArguments.getArgList();
        Optional<CommandDefinition> match = CommandDefinition.find(words);
        if (globalArguments.hasOption(GlobalOptions.HELP) || globalArguments.hasOption(GlobalOptions.VERSION)) {
            return printHelpOrVersion(globalArguments, match);
        }
        CommandDefinition definition = match.orElseThrow(() -> new FailureException(
                new Failure.InvalidField("command", "one of " + String.join(", ", CommandDefinition.names()))));
        String[] remaining =
                words.subList(definition.words().size(), words.size()).toArray(String[]::new);
        CommandLine commandArguments = parse(definition.allOptions(), remaining, false);
        if (commandArguments.hasOption(GlobalOptions.HELP) || commandArguments.hasOption(GlobalOptions.VERSION)) {
            return printHelpOrVersion(commandArguments, match);
        }
        definition.checkArguments(commandArguments.getArgList());
        return definition
                .create(new Invocation(console, globalArguments, commandArguments, environment))
                .call();
    }

    private ExitCode printHelpOrVersion(CommandLine arguments, Optional<CommandDefinition> definition) {
        HelpPrinter printer = new HelpPrinter(out);
        if (arguments.hasOption(GlobalOptions.HELP)) {
            printer.printHelp(definition);
        } else {
            printer.printVersion();
        }
        return ExitCode.DONE;
    }

    private static CommandLine parse(Options options, String[] arguments, boolean stopAtCommand) {
        try {
            return DefaultParser.builder()
                    .setAllowPartialMatching(false)
                    .setStripLeadingAndTrailingQuotes(false)
                    .build()
                    .parse(options, arguments, stopAtCommand);
        } catch (ParseException exception) {
            throw new FailureException(UsageFailures.of(exception, options));
        }
    }

    /** Detects the output format before the command line is parsed, so that parse errors are printed in this format. */
    private static Console.Format requestedFormat(String... arguments) {
        String joined = String.join(" ", Arrays.asList(arguments)).toLowerCase(Locale.ROOT);
        return joined.matches(".*--output[ =]json( .*|$)") ? Console.Format.JSON : Console.Format.TEXT;
    }
}
