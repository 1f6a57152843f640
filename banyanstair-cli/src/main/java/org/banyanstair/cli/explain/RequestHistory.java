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
 * Log entries of one request, and the events of its endpoints and hosts in the same period.
 *
 * @param request the request id
 * @param lines entries ordered by time
 */
public record RequestHistory(String request, List<LogLine> lines, RequestCause cause) {
    /** Entries of an endpoint that explain its failure. */
    private static final Set<String> ENDPOINT_FAILURE_KINDS =
            Set.of("endpoint-removed", "endpoint-restarted", "endpoint-leaving", "endpoint-crashed");

    /** Entries of a host that explain why a request has no end. */
    private static final Set<String> HOST_LIFECYCLE_KINDS = Set.of("started", "stopping", "stopped");

    /** Entries about the platform services and the clock that a host depends on. */
    private static final Set<String> DEPENDENCY_KINDS =
            Set.of("topic-unavailable", "topic-available", "clock-gap", "command-suspended", "keys-unconfirmed");

    /** An endpoint crash may be logged this long after the failure it caused: twice the lease duration of a runner. */
    private static final Duration ENDPOINT_ENTRY_WINDOW = Duration.ofSeconds(6);

    /** Copies the lines. */
    public RequestHistory {
        lines = List.copyOf(lines);
    }

    /**
     * Collects the history of a request.
     *
     * @param request the request id
     * @param log entries of any number of hosts, in any order
     * @return the history; without entries if the logs do not contain the request
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
