package org.banyanstair.cli.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.banyanstair.cli.ExitCode;
import org.banyanstair.cli.explain.LogLine;
import org.banyanstair.cli.explain.RequestHistory;
import org.banyanstair.cli.output.Console;
import org.banyanstair.cli.output.Texts;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/** Shows what the logs of the hosts say of one request. Needs no connection. */
public final class ExplainCommand implements Command {
    private final Console console;
    private String request = "";
    private List<Path> logs = List.of();

    /**
     * Creates the command.
     *
     * @param console receives the result
     */
    public ExplainCommand(Console console) {
        this.console = console;
    }

    /**
     * Sets the request.
     *
     * @param id its id
     */
    public void setRequest(String id) {
        this.request = id;
    }

    /**
     * Sets the logs.
     *
     * @param files standard output of the hosts, one or several hosts a file
     */
    public void setLogs(List<Path> files) {
        this.logs = List.copyOf(files);
    }

    @Override
    public ExitCode call() {
        List<LogLine> log = new ArrayList<>();
        logs.forEach(file -> log.addAll(read(file)));
        RequestHistory history = RequestHistory.of(request, log);
        List<String> lines = new ArrayList<>();
        if (history.lines().isEmpty()) {
            lines.add(Texts.of("explain.unknown", request, log.size()));
        } else {
            Instant from = history.lines().get(0).at();
            history.lines().forEach(line -> lines.add(textOf(line, from)));
            lines.add(Texts.of("explain.cause", Texts.of("explain." + history.cause())));
        }
        console.result(history, lines);
        return history.lines().isEmpty() ? ExitCode.NOT_REACHED : ExitCode.DONE;
    }

    private static List<LogLine> read(Path file) {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.map(LogLine::parse).flatMap(line -> line.stream()).toList();
        } catch (IOException | UncheckedIOException exception) {
            throw new FailureException(new Failure.InvalidField(file.toString(), "a readable file in UTF-8"));
        }
    }

    private static String textOf(LogLine line, Instant from) {
        String fields = line.fields().entrySet().stream()
                .filter(field -> !field.getKey().equals("request"))
                .map(ExplainCommand::textOf)
                .collect(Collectors.joining(" "));
        return String.format(
                "%8d ms  %s  %s  %s", Duration.between(from, line.at()).toMillis(), line.host(), line.kind(), fields);
    }

    private static String textOf(Map.Entry<String, Object> field) {
        return field.getKey() + "=" + field.getValue();
    }
}
