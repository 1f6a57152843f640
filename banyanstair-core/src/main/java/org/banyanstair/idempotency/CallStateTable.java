package org.banyanstair.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Derives the state of each idempotency key from the log stream of one call partition.
 *
 * <p>The first intent in log order acquires the key, unless its attempt was voided earlier in the log. Not thread-safe.
 */
public final class CallStateTable {
    private static final CallState FREE = new CallState.Free();

    private final Duration retention;
    private final Map<CallKey, KeyEntry> entries = new HashMap<>();
    private long nextOffset;

    /**
     * Creates an empty table.
     *
     * @param retention how long a key is kept after the deadline of its call
     */
    public CallStateTable(Duration retention) {
        this.retention = retention;
    }

    private static final class KeyEntry {
        private CallState state = FREE;
        private final Set<AttemptId> deadAttempts = new HashSet<>();
        private Instant keepUntil;

        KeyEntry(Instant keepUntil) {
            this.keepUntil = keepUntil;
        }
    }

    /**
     * Applies one record.
     *
     * @param appendedAt when the log service stored the record, by its clock
     * @return false if the offset is below the next offset, so that the record had been applied before
     */
    public boolean apply(long offset, Instant appendedAt, CallRecord record) {
        if (offset < nextOffset) {
            return false;
        }
        nextOffset = offset + 1;
        KeyEntry entry = entries.computeIfAbsent(record.key(), key -> new KeyEntry(appendedAt.plus(retention)));
        if (record instanceof CallRecord.Intent intent) {
            applyIntent(entry, intent);
        } else {
            applyOutcome(entry, record);
        }
        return true;
    }

    private void applyIntent(KeyEntry entry, CallRecord.Intent intent) {
        Instant keepUntil = intent.deadline().plus(retention);
        if (keepUntil.isAfter(entry.keepUntil)) {
            entry.keepUntil = keepUntil;
        }
        if (entry.state.equals(FREE) && !entry.deadAttempts.contains(intent.attempt())) {
            entry.state = new CallState.Held(intent.attempt(), intent.writer(), intent.bodyDigest(), intent.deadline());
        }
    }

    private static void applyOutcome(KeyEntry entry, CallRecord record) {
        boolean holdsKey =
                entry.state instanceof CallState.Held held && held.attempt().equals(record.attempt());
        if (!holdsKey) {
            if (record instanceof CallRecord.Void && !isResolvedBy(entry, record.attempt())) {
                entry.deadAttempts.add(record.attempt());
            }
            return;
        }
        CallState.Held held = (CallState.Held) entry.state;
        if (record instanceof CallRecord.NotRun) {
            entry.deadAttempts.add(record.attempt());
            entry.state = FREE;
        } else if (record instanceof CallRecord.Result result) {
            entry.state = new CallState.Answered(held.attempt(), held.bodyDigest(), result.answer());
        } else if (record instanceof CallRecord.Unknown) {
            entry.state = new CallState.OutcomeUnknown(held.attempt(), held.bodyDigest());
        }
    }

    private static boolean isResolvedBy(KeyEntry entry, AttemptId attempt) {
        return entry.state instanceof CallState.Answered answered
                        && answered.attempt().equals(attempt)
                || entry.state instanceof CallState.OutcomeUnknown unknown
                        && unknown.attempt().equals(attempt);
    }

    /** Returns the state of a key. */
    public CallState state(CallKey key) {
        KeyEntry entry = entries.get(key);
        return entry == null ? FREE : entry.state;
    }

    /**
     * Returns whether an attempt can never be executed.
     *
     * @return true if it was voided before it acquired the key, or its writer released the key without dispatching it
     */
    public boolean isDead(CallKey key, AttemptId attempt) {
        KeyEntry entry = entries.get(key);
        return entry != null && entry.deadAttempts.contains(attempt);
    }

    /** Evicts keys whose retention period has passed. */
    public void expire(Instant now) {
        entries.values().removeIf(entry -> entry.keepUntil.isBefore(now));
    }

    /** Skips a record that could not be decoded. */
    public void skip(long offset) {
        nextOffset = Math.max(nextOffset, offset + 1);
    }

    /** Returns the offset of the next record to apply. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Returns the number of keys in the table. */
    public int size() {
        return entries.size();
    }
}
