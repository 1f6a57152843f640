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
import org.banyanstair.cli.output.Messages;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/** Prints the history of a request from log files of the hosts, without a connection to them. */
public final class ExplainCommand implements Command {
    private final Console console;
    private String requestId = "";
    private List<Path> logFiles = List.of();

    /** Creates the command. */
    public ExplainCommand(Console console) {
        this.console = console;
    }

    /** Sets the id of the request to explain. */
    public void setRequestId(String id) {
        this.requestId = id;
    }

    /**
     * Sets the log files.
     *
     * @param files standard output of the hosts; a file may hold the output of several hosts
     */
    public void setLogFiles(List<Path> files) {
        this.logFiles = List.copyOf(files);
    }

    @Override
    public ExitCode call() {
        List<LogLine> entries = new ArrayList<>();
        logFiles.forEach(file -> entries.addAll(readEntries(file)));
        RequestHistory history = RequestHistory.of(requestId, entries);
        List<String> lines = new ArrayList<>();
        if (history.lines().isEmpty()) {
            lines.add(Messages.format("explain.unknown", requestId, entries.size()));
        } else {
            Instant start = history.lines().get(0).at();
            history.lines().forEach(line -> lines.add(format(line, start)));
            lines.add(Messages.format("explain.cause", Messages.format("explain." + history.cause())));
        }
        console.printResult(history, lines);
        return history.lines().isEmpty() ? ExitCode.NOT_REACHED : ExitCode.DONE;
    }

    private static List<LogLine> readEntries(Path file) {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.map(LogLine::parse).flatMap(line -> line.stream()).toList();
        } catch (IOException | UncheckedIOException exception) {
            throw new FailureException(new Failure.InvalidField(file.toString(), "a readable file in UTF-8"));
        }
    }

    private static String format(LogLine line, Instant start) {
        String fields = line.fields().entrySet().stream()
                .filter(field -> !field.getKey().equals("request"))
                .map(ExplainCommand::format)
                .collect(Collectors.joining(" "));
        return String.format(
                "%8d ms  %s  %s  %s", Duration.between(start, line.at()).toMillis(), line.host(), line.kind(), fields);
    }

    private static String format(Map.Entry<String, Object> field) {
        return field.getKey() + "=" + field.getValue();
    }
}
