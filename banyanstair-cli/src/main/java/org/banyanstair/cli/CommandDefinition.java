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
import org.banyanstair.cli.command.BurnReportCommand;
import org.banyanstair.cli.command.Command;
import org.banyanstair.cli.command.DiffCommand;
import org.banyanstair.cli.command.DrainCommand;
import org.banyanstair.cli.command.EndpointsCommand;
import org.banyanstair.cli.command.ExplainCommand;
import org.banyanstair.cli.command.PresetListCommand;
import org.banyanstair.cli.command.PresetUseCommand;
import org.banyanstair.cli.command.StatusCommand;
import org.banyanstair.cli.command.ValidateCommand;
import org.banyanstair.cli.output.Texts;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.HostId;
import org.banyanstair.model.PresetId;

/**
 * A command as it is written on the command line.
 *
 * @param name its words, separated by a space
 * @param argument name of its only argument, empty if it takes none
 * @param options its options besides the global ones
 * @param creator creates the command
 */
record CommandDefinition(
        String name, Optional<String> argument, List<Option> options, Function<Invocation, Command> creator) {
    private static final String FILE = "file";
    private static final String BASE = "base";
    private static final String DRY_RUN = "dry-run";
    private static final String NO_WAIT = "no-wait";
    private static final String WAIT_SECONDS = "wait-seconds";
    private static final String HTML = "html";
    private static final String LOGS = "logs";

    private static final int MAXIMUM_WAIT_SECONDS = 3_600;

    private static final List<CommandDefinition> ALL = List.of(
            new CommandDefinition("validate", Optional.empty(), List.of(file()), CommandDefinition::validate),
            new CommandDefinition("diff", Optional.empty(), List.of(file()), CommandDefinition::diff),
            new CommandDefinition(
                    "apply",
                    Optional.empty(),
                    List.of(
                            file(),
                            GlobalOptions.withValue(BASE, "VERSION"),
                            GlobalOptions.flag(DRY_RUN),
                            GlobalOptions.flag(NO_WAIT),
                            GlobalOptions.withValue(WAIT_SECONDS, "SECONDS")),
                    CommandDefinition::apply),
            new CommandDefinition(
                    "preset use",
                    Optional.of("NAME"),
                    List.of(GlobalOptions.flag(NO_WAIT), GlobalOptions.withValue(WAIT_SECONDS, "SECONDS")),
                    CommandDefinition::presetUse),
            new CommandDefinition(
                    "preset list",
                    Optional.empty(),
                    List.of(),
                    invocation -> new PresetListCommand(invocation.console(), invocation.client())),
            new CommandDefinition(
                    "status",
                    Optional.empty(),
                    List.of(),
                    invocation -> new StatusCommand(invocation.console(), invocation.client())),
            new CommandDefinition(
                    "endpoints",
                    Optional.empty(),
                    List.of(),
                    invocation -> new EndpointsCommand(invocation.console(), invocation.client())),
            new CommandDefinition("drain", Optional.of("HOST"), List.of(), CommandDefinition::drain),
            new CommandDefinition(
                    "report burn",
                    Optional.empty(),
                    List.of(GlobalOptions.withValue(HTML, "FILE")),
                    CommandDefinition::reportBurn),
            new CommandDefinition("explain", Optional.of("REQUEST"), List.of(logs()), CommandDefinition::explain));

    static List<CommandDefinition> all() {
        return ALL;
    }

    static List<String> names() {
        return ALL.stream().map(CommandDefinition::name).toList();
    }

    /** Finds the command that a list of arguments starts with. */
    static Optional<CommandDefinition> find(List<String> arguments) {
        return ALL.stream()
                .filter(definition -> arguments.size() >= definition.words().size()
                        && arguments.subList(0, definition.words().size()).equals(definition.words()))
                .max(Comparator.comparing(definition -> definition.words().size()));
    }

    List<String> words() {
        return List.of(name.split(" "));
    }

    Options ownOptions() {
        Options all = new Options();
        options.forEach(all::addOption);
        return all;
    }

    Options allOptions() {
        Options all = ownOptions();
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
        return creator.apply(invocation);
    }

    private static Option file() {
        return Option.builder("f")
                .longOpt(FILE)
                .hasArg()
                .argName("FILE")
                .desc(Texts.of("option.file"))
                .build();
    }

    private static Option logs() {
        return Option.builder()
                .longOpt(LOGS)
                .hasArgs()
                .argName("FILE")
                .desc(Texts.of("option.logs"))
                .build();
    }

    private static Command explain(Invocation invocation) {
        ExplainCommand command = new ExplainCommand(invocation.console());
        command.setRequest(invocation.argument());
        List<Path> files = invocation.values(LOGS).stream().map(Path::of).toList();
        if (files.isEmpty()) {
            throw new FailureException(new Failure.InvalidField("--" + LOGS, "present"));
        }
        command.setLogs(files);
        return command;
    }

    private static Command validate(Invocation invocation) {
        ValidateCommand command = new ValidateCommand(invocation.console());
        command.setFile(path(invocation, FILE));
        return command;
    }

    private static Command diff(Invocation invocation) {
        DiffCommand command = new DiffCommand(invocation.console(), invocation.client());
        command.setFile(path(invocation, FILE));
        return command;
    }

    private static Command apply(Invocation invocation) {
        ApplyCommand command = new ApplyCommand(invocation.console(), invocation.client());
        command.setFile(path(invocation, FILE));
        command.setDryRun(invocation.has(DRY_RUN));
        command.setWaiting(!invocation.has(NO_WAIT));
        invocation.number(BASE, -1, Long.MAX_VALUE).ifPresent(command::setBase);
        wait(invocation).ifPresent(command::setWait);
        return command;
    }

    private static Command presetUse(Invocation invocation) {
        PresetUseCommand command = new PresetUseCommand(invocation.console(), invocation.client());
        command.setPreset(new PresetId(invocation.argument()));
        command.setWaiting(!invocation.has(NO_WAIT));
        wait(invocation).ifPresent(command::setWait);
        return command;
    }

    private static Command drain(Invocation invocation) {
        DrainCommand command = new DrainCommand(invocation.console(), invocation.client());
        command.setHost(new HostId(invocation.argument()));
        return command;
    }

    private static Command reportBurn(Invocation invocation) {
        BurnReportCommand command = new BurnReportCommand(invocation.console(), invocation.client());
        invocation.value(HTML).map(Path::of).ifPresent(command::setPage);
        return command;
    }

    private static Path path(Invocation invocation, String option) {
        return invocation
                .value(option)
                .map(Path::of)
                .orElseThrow(() -> new FailureException(new Failure.InvalidField("--" + option, "present")));
    }

    private static Optional<Duration> wait(Invocation invocation) {
        return invocation.number(WAIT_SECONDS, 1, MAXIMUM_WAIT_SECONDS).map(Duration::ofSeconds);
    }
}
