package org.banyanstair.cli.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What the logs of the hosts say of one request, and what else was decided on its endpoints meanwhile.
 *
 * @param request the request's id
 * @param lines the lines in the order of their time
 * @param cause how it ended
 */
public record RequestHistory(String request, List<LogLine> lines, RequestCause cause) {
    /** Lines on an endpoint that explain a failure there. */
    private static final Set<String> ENDPOINT_FAILURE_KINDS =
            Set.of("endpoint-removed", "endpoint-restarted", "endpoint-leaving", "endpoint-crashed");

    /** Lines on a host that explain why a request has no end. */
    private static final Set<String> HOST_LIFECYCLE_KINDS = Set.of("started", "stopping", "stopped");

    /** Lines on what hosts depend on. */
    private static final Set<String> DEPENDENCY_KINDS =
            Set.of("topic-unavailable", "topic-available", "clock-gap", "command-suspended");

    /** Time after the failure in which the sign of an endpoint's crash comes; twice the time of a runner's lease. */
    private static final Duration ENDPOINT_ENTRY_WINDOW = Duration.ofSeconds(6);

    /** Copies the lines. */
    public RequestHistory {
        lines = List.copyOf(lines);
    }

    /**
     * Collects the history of a request.
     *
     * @param request its id
     * @param log lines of any number of hosts, in any order
     * @return the history; without lines if the logs do not have the request
     */
    public static RequestHistory of(String request, List<LogLine> log) {
        List<LogLine> requestLines = log.stream()
                .filter(line -> line.text("request").equals(Optional.of(request)))
                .sorted(Comparator.comparing(LogLine::at))
                .toList();
        if (requestLines.isEmpty()) {
            return new RequestHistory(request, List.of(), RequestCause.NO_END);
        }
        Instant start = requestLines.get(0).at();
        Instant end = requestLines.get(requestLines.size() - 1).at();
        Instant windowEnd = end.plus(ENDPOINT_ENTRY_WINDOW);
        Set<String> hosts = requestLines.stream().map(LogLine::host).collect(Collectors.toSet());
        Set<String> endpoints = requestLines.stream()
                .flatMap(line -> line.text("endpoint").stream())
                .collect(Collectors.toSet());
        List<LogLine> lines = new ArrayList<>(requestLines);
        log.stream()
                .filter(line ->
                        !line.at().isBefore(start) && line.at().isBefore(windowEnd) && hosts.contains(line.host()))
                .filter(line -> HOST_LIFECYCLE_KINDS.contains(line.kind())
                        || DEPENDENCY_KINDS.contains(line.kind()) && !line.at().isAfter(end)
                        || ENDPOINT_FAILURE_KINDS.contains(line.kind())
                                && line.text("endpoint")
                                        .filter(endpoints::contains)
                                        .isPresent())
                .forEach(lines::add);
        lines.sort(Comparator.comparing(LogLine::at));
        return new RequestHistory(request, lines, determineCause(requestLines, lines));
    }

    private static RequestCause determineCause(List<LogLine> requestLines, List<LogLine> lines) {
        Optional<LogLine> end = requestLines.stream()
                .filter(line ->
                        Set.of("answered", "refused", "failed", "caller-left").contains(line.kind()))
                .reduce((first, last) -> last);
        if (end.isEmpty()) {
            return containsKind(lines, HOST_LIFECYCLE_KINDS) ? RequestCause.HOST_LOST : RequestCause.NO_END;
        }
        return switch (end.get().kind()) {
            case "answered" -> RequestCause.ANSWERED;
            case "refused" -> RequestCause.REFUSED;
            case "caller-left" -> RequestCause.CALLER_LEFT;
            default -> end.get().text("reason").equals(Optional.of("TIMED_OUT"))
                    ? RequestCause.TIMED_OUT
                    : containsKind(lines, ENDPOINT_FAILURE_KINDS)
                            ? RequestCause.ENDPOINT_LOST
                            : RequestCause.ENDPOINT_FAILED;
        };
    }

    private static boolean containsKind(List<LogLine> lines, Set<String> kinds) {
        return lines.stream().anyMatch(line -> kinds.contains(line.kind()));
    }
}
