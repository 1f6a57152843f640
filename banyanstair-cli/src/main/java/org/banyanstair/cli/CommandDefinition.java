package org.banyanstair.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.banyanstair.cli.command.ApplyCommand;
import org.banyanstair.cli.command.BurnRateReportCommand;
import org.banyanstair.cli.command.Command;
import org.banyanstair.cli.command.DiffCommand;
import org.banyanstair.cli.command.DrainCommand;
import org.banyanstair.cli.command.EndpointsCommand;
import org.banyanstair.cli.command.ExplainCommand;
import org.banyanstair.cli.command.PresetListCommand;
import org.banyanstair.cli.command.PresetUseCommand;
import org.banyanstair.cli.command.StatusCommand;
import org.banyanstair.cli.command.ValidateCommand;
import org.banyanstair.cli.output.Messages;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.HostId;
import org.banyanstair.model.PresetId;

/**
 * Syntax of a command and the factory that creates it.
 *
 * @param name words of the command, separated by a space
 * @param argument name of its only positional argument, empty if it takes none
 * @param options options besides the global ones
 * @param factory creates the command from the parsed command line
 */
record CommandDefinition(
        String name, Optional<String> argument, List<Option> options, Function<Invocation, Command> factory) {
    private static final String FILE = "file";
    private static final String BASE = "base";
    private static final String DRY_RUN = "dry-run";
    private static final String NO_WAIT = "no-wait";
    private static final String WAIT_SECONDS = "wait-seconds";
    private static final String HTML = "html";
    private static final String LOGS = "logs";

    private static final int MAXIMUM_WAIT_SECONDS = 3_600;

    private static final List<CommandDefinition> ALL = List.of(
            new CommandDefinition(
                    "validate", Optional.empty(), List.of(fileOption()), CommandDefinition::validateCommand),
            new CommandDefinition("diff", Optional.empty(), List.of(fileOption()), CommandDefinition::diffCommand),
            new CommandDefinition(
                    "apply",
                    Optional.empty(),
                    List.of(
                            fileOption(),
                            GlobalOptions.valueOption(BASE, "VERSION"),
                            GlobalOptions.flagOption(DRY_RUN),
                            GlobalOptions.flagOption(NO_WAIT),
                            GlobalOptions.valueOption(WAIT_SECONDS, "SECONDS")),
                    CommandDefinition::applyCommand),
            new CommandDefinition(
                    "preset use",
                    Optional.of("NAME"),
                    List.of(GlobalOptions.flagOption(NO_WAIT), GlobalOptions.valueOption(WAIT_SECONDS, "SECONDS")),
                    CommandDefinition::presetUseCommand),
            new CommandDefinition(
                    "preset list",
                    Optional.empty(),
                    List.of(),
                    invocation -> new PresetListCommand(invocation.console(), invocation.createClient())),
            new CommandDefinition(
                    "status",
                    Optional.empty(),
                    List.of(),
                    invocation -> new StatusCommand(invocation.console(), invocation.createClient())),
            new CommandDefinition(
                    "endpoints",
                    Optional.empty(),
                    List.of(),
                    invocation -> new EndpointsCommand(invocation.console(), invocation.createClient())),
            new CommandDefinition("drain", Optional.of("HOST"), List.of(), CommandDefinition::drainCommand),
            new CommandDefinition(
                    "report burn",
                    Optional.empty(),
                    List.of(GlobalOptions.valueOption(HTML, "FILE")),
                    CommandDefinition::reportBurnCommand),
            new CommandDefinition(
                    "explain", Optional.of("REQUEST"), List.of(logsOption()), CommandDefinition::explainCommand));

    static List<CommandDefinition> all() {
        return ALL;
    }

    static List<String> names() {
        return ALL.stream().map(CommandDefinition::name).toList();
    }

    /** Finds the command whose words a list of arguments starts with; the longest name wins. */
    static Optional<CommandDefinition> find(List<String> arguments) {
        return ALL.stream()
                .filter(definition -> arguments.size() >= definition.words().size()
                        && arguments.subList(0, definition.words().size()).equals(definition.words()))
                .max(Comparator.comparing(definition -> definition.words().size()));
    }

    List<String> words() {
        return List.of(name.split(" "));
    }

    Options commandOptions() {
        Options all = new Options();
        options.forEach(all::addOption);
        return all;
    }

    Options allOptions() {
        Options all = commandOptions();
        GlobalOptions.options().getOptions().forEach(all::addOption);
        return all;
    }

    void checkArguments(List<String> arguments) {
        int expected = argument.isPresent() ? 1 : 0;
        if (arguments.size() != expected) {
            String accepted = argument.map(wanted -> "exactly one " + wanted).orElse("none for this command");
            throw new FailureException(new Failure.InvalidField("the arguments of " + name, accepted));
        }
    }

    Command create(Invocation invocation) {
        return factory.apply(invocation);
    }

    private static Option fileOption() {
        return Option.builder("f")
                .longOpt(FILE)
                .hasArg()
                .argName("FILE")
                .desc(Messages.format("option.file"))
                .build();
    }

    private static Option logsOption() {
        return Option.builder()
                .longOpt(LOGS)
                .hasArgs()
                .argName("FILE")
                .desc(Messages.format("option.logs"))
                .build();
    }

    private static Command explainCommand(Invocation invocation) {
        ExplainCommand command = new ExplainCommand(invocation.console());
        command.setRequestId(invocation.argument());
        List<Path> files = invocation.values(LOGS).stream().map(Path::of).toList();
        if (files.isEmpty()) {
            throw new FailureException(new Failure.InvalidField("--" + LOGS, "present"));
        }
        command.setLogFiles(files);
        return command;
    }

    private static Command validateCommand(Invocation invocation) {
        ValidateCommand command = new ValidateCommand(invocation.console());
        command.setFile(requiredPath(invocation, FILE));
        return command;
    }

    private static Command diffCommand(Invocation invocation) {
        DiffCommand command = new DiffCommand(invocation.console(), invocation.createClient());
        command.setFile(requiredPath(invocation, FILE));
        return command;
    }

    private static Command applyCommand(Invocation invocation) {
        ApplyCommand command = new ApplyCommand(invocation.console(), invocation.createClient());
        command.setFile(requiredPath(invocation, FILE));
        command.setDryRun(invocation.has(DRY_RUN));
        command.setWaitForHosts(!invocation.has(NO_WAIT));
        invocation.numberInRange(BASE, -1, Long.MAX_VALUE).ifPresent(command::setBaseVersion);
        waitTimeout(invocation).ifPresent(command::setWaitTimeout);
        return command;
    }

    private static Command presetUseCommand(Invocation invocation) {
        PresetUseCommand command = new PresetUseCommand(invocation.console(), invocation.createClient());
        command.setPreset(new PresetId(invocation.argument()));
        command.setWaitForHosts(!invocation.has(NO_WAIT));
        waitTimeout(invocation).ifPresent(command::setWaitTimeout);
        return command;
    }

    private static Command drainCommand(Invocation invocation) {
        DrainCommand command = new DrainCommand(invocation.console(), invocation.createClient());
        command.setHost(new HostId(invocation.argument()));
        return command;
    }

    private static Command reportBurnCommand(Invocation invocation) {
        BurnRateReportCommand command = new BurnRateReportCommand(invocation.console(), invocation.createClient());
        invocation.value(HTML).map(Path::of).ifPresent(command::setHtmlFile);
        return command;
    }

    private static Path requiredPath(Invocation invocation, String option) {
        return invocation
                .value(option)
                .map(Path::of)
                .orElseThrow(() -> new FailureException(new Failure.InvalidField("--" + option, "present")));
    }

    private static Optional<Duration> waitTimeout(Invocation invocation) {
        return invocation.numberInRange(WAIT_SECONDS, 1, MAXIMUM_WAIT_SECONDS).map(Duration::ofSeconds);
    }
}
