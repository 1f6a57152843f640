package org.banyanstair.testsupport.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.ModelName;

/**
 * Checks a recorded history for violations of the system's guarantees.
 *
 * <p>The history and the endpoints' records must be complete and their times must come from the same machine.
 */
public final class HistoryChecker {
    private final List<HistoryEvent> events;
    private final List<EndpointRun> runs;
    private final List<EndpointUnload> unloads;
    private final AnswerOracle oracle;
    private final Map<String, List<EndpointRun>> runsByKey;
    private final Map<String, List<EndpointRun>> runsByRequest;
    private final Map<String, List<HistoryEvent.Sent>> sentByKey;
    private final Map<HistoryEvent.Sent, HistoryEvent.NotRun> notRun = new HashMap<>();

    /**
     * Creates a checker.
     *
     * @param events events that the callers recorded
     * @param runs runs that the endpoints recorded
     * @param unloads unloads that the engines recorded
     */
    public HistoryChecker(
            List<HistoryEvent> events, List<EndpointRun> runs, List<EndpointUnload> unloads, AnswerOracle oracle) {
        this.events = List.copyOf(events);
        this.runs = List.copyOf(runs);
        this.unloads = List.copyOf(unloads);
        this.oracle = oracle;
        this.runsByKey = index(this.runs, EndpointRun::key);
        this.runsByRequest = index(this.runs, EndpointRun::requestId);
        this.sentByKey = index(eventsOf(HistoryEvent.Sent.class).toList(), sent -> sent.context()
                .key());
        eventsOf(HistoryEvent.NotRun.class).forEach(event -> notRun.put(event.sent(), event));
    }

    /**
     * Runs all checks.
     *
     * @return empty if there are no violations
     */
    public List<Violation> check() {
        return Stream.of(
                        checkVersions(),
                        checkTexts(),
                        checkNotRunRequests(),
                        checkAtMostOnce(),
                        checkAcknowledgedRequestsRan(),
                        checkUnloadsInUse())
                .flatMap(List::stream)
                .toList();
    }

    /** Checks that requests run on the adapter version that they name. */
    public List<Violation> checkVersions() {
        List<Violation> violations = new ArrayList<>();
        eventsOf(HistoryEvent.Answered.class).filter(this::isGenerated).forEach(answered -> {
            if (!answered.adapter()
                    .filter(adapter -> matchesModel(answered.sent(), adapter))
                    .isPresent()) {
                violations.add(new Violation.AnsweredByAnotherVersion(answered));
            }
            runsOf(answered).stream()
                    .flatMap(run -> run.adapter().stream())
                    .filter(adapter -> !answered.adapter().equals(Optional.of(adapter)))
                    .forEach(adapter -> violations.add(new Violation.RanOnAnotherVersion(answered, adapter)));
        });
        return violations;
    }

    private boolean isGenerated(HistoryEvent.Answered answered) {
        return answered.isAcknowledged() && answered.sent().model().isPresent();
    }

    private static boolean matchesModel(HistoryEvent.Sent sent, AdapterVersion adapter) {
        ModelName model = sent.model().orElseThrow();
        return model.service().equals(adapter.service())
                && model.adapter().equals(adapter.adapter())
                && model.version().map(adapter.version()::equals).orElse(true);
    }

    /** Returns the runs of this request by its id; none without an id, because other requests may share the key. */
    private List<EndpointRun> runsOf(HistoryEvent.Answered answered) {
        return answered.requestId()
                .map(id -> runsByRequest.getOrDefault(id, List.of()))
                .orElse(List.of());
    }

    /** Checks successful answers against the oracle. */
    public List<Violation> checkTexts() {
        List<Violation> violations = new ArrayList<>();
        eventsOf(HistoryEvent.Answered.class)
                .filter(HistoryEvent.Answered::isAcknowledged)
                .forEach(answered -> oracle.expected(answered)
                        .filter(right -> right.tokens() != answered.tokens()
                                || !right.textDigest().equals(answered.textDigest()))
                        .ifPresent(right -> violations.add(new Violation.WrongText(answered, right))));
        return violations;
    }

    /**
     * Checks that requests reported as not run did not run.
     *
     * <p>A run belongs to a rejected request if it has its request id, or if all requests with its key that were sent
     * before the run started were rejected.
     *
     * @return the violations, one for each run
     */
    public List<Violation> checkNotRunRequests() {
        List<Violation> violations = new ArrayList<>();
        for (EndpointRun run : runs) {
            rejectionOf(run).ifPresent(rejection -> violations.add(new Violation.RanAlthoughNotRun(rejection, run)));
        }
        return violations;
    }

    private Optional<HistoryEvent.NotRun> rejectionOf(EndpointRun run) {
        List<HistoryEvent.Sent> sent = sentByKey.getOrDefault(run.key(), List.of()).stream()
                .filter(event -> !event.context().start().isAfter(run.start()))
                .toList();
        Optional<HistoryEvent.NotRun> sameRequest = sent.stream()
                .flatMap(event -> Stream.ofNullable(notRun.get(event)))
                .filter(rejection -> rejection.requestId().equals(Optional.of(run.requestId())))
                .findFirst();
        if (sameRequest.isPresent() || sent.isEmpty() || !sent.stream().allMatch(notRun::containsKey)) {
            return sameRequest;
        }
        return Optional.of(notRun.get(sent.get(sent.size() - 1)));
    }

    /**
     * Checks that non-idempotent requests ran at most once per key.
     *
     * @return the violations, one for each key
     */
    public List<Violation> checkAtMostOnce() {
        return sentByKey.entrySet().stream()
                .filter(entry -> entry.getValue().stream().anyMatch(sent -> !sent.repeatable()))
                .filter(entry ->
                        runsByKey.getOrDefault(entry.getKey(), List.of()).size() > 1)
                .<Violation>map(entry -> new Violation.RanMoreThanOnce(entry.getKey(), runsByKey.get(entry.getKey())))
                .toList();
    }

    /** Checks that acknowledged non-idempotent requests ran. */
    public List<Violation> checkAcknowledgedRequestsRan() {
        return eventsOf(HistoryEvent.Answered.class)
                .filter(answered ->
                        answered.isAcknowledged() && !answered.sent().repeatable())
                .filter(answered -> !runsByKey.containsKey(answered.context().key()))
                .<Violation>map(Violation.AcknowledgedButNeverRan::new)
                .toList();
    }

    /** Checks that no adapter was unloaded while a request ran on it. */
    public List<Violation> checkUnloadsInUse() {
        List<Violation> violations = new ArrayList<>();
        for (EndpointUnload unload : unloads) {
            runs.stream()
                    .filter(run -> run.endpoint().equals(unload.endpoint())
                            && run.adapter().equals(Optional.of(unload.adapter()))
                            && run.start().isBefore(unload.at())
                            && run.end().isAfter(unload.at()))
                    .forEach(run -> violations.add(new Violation.UnloadedInUse(unload, run)));
        }
        return violations;
    }

    private <T extends HistoryEvent> Stream<T> eventsOf(Class<T> type) {
        return events.stream().filter(type::isInstance).map(type::cast);
    }

    private static <T> Map<String, List<T>> index(List<T> items, Function<T, String> key) {
        return items.stream().collect(Collectors.groupingBy(key));
    }
}
