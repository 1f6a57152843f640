package org.banyanstair.idempotency;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyanstair.idempotency.SubmittedCall.Stage;

/**
 * Index of the unanswered attempts of a writer. It keeps the cost of a tick and of a record independent of the number
 * of answered attempts that are retained. Not thread-safe.
 */
final class PendingCalls {
    private final Map<AttemptId, SubmittedCall> calls = new LinkedHashMap<>();
    private final Map<CallKey, Set<SubmittedCall>> byKey = new HashMap<>();

    void add(SubmittedCall call) {
        calls.put(call.submit().attempt(), call);
        byKey.computeIfAbsent(call.submit().key(), key -> new LinkedHashSet<>()).add(call);
    }

    void remove(SubmittedCall call) {
        calls.remove(call.submit().attempt());
        byKey.computeIfPresent(call.submit().key(), (key, present) -> {
            present.remove(call);
            return present.isEmpty() ? null : present;
        });
    }

    boolean isEmpty() {
        return calls.isEmpty();
    }

    /** Returns a copy in the order of submission. */
    List<SubmittedCall> all() {
        return List.copyOf(calls.values());
    }

    /** Returns the calls that wait for the next append, in the order of submission. */
    List<SubmittedCall> queued() {
        return calls.values().stream()
                .filter(call -> call.stage() == Stage.QUEUED)
                .toList();
    }

    /** Returns a copy of the calls that wait for another attempt with the key, in the order of submission. */
    List<SubmittedCall> joined(CallKey key) {
        return callsWithKey(key).stream()
                .filter(call -> call.stage() == Stage.JOINED)
                .toList();
    }

    /** Returns whether another attempt with the same key waits for the log or an endpoint. */
    boolean isKeyPending(SubmittedCall call) {
        return callsWithKey(call.submit().key()).stream()
                .anyMatch(other -> other != call && other.stage() != Stage.JOINED);
    }

    private Collection<SubmittedCall> callsWithKey(CallKey key) {
        return byKey.getOrDefault(key, Set.of());
    }
}
