package org.banyanstair.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Folds one stream of non-idempotent calls into the state of each key.
 *
 * <p>The first intent in log order holds its key, unless its attempt was voided before. Not safe for use by several
 * threads.
 */
public final class CallStateTable {
    private static final CallState FREE = new CallState.Free();

    private final Duration retention;
    private final Map<CallKey, Entry> entries = new HashMap<>();
    private long nextOffset;

    /**
     * Creates an empty ledger.
     *
     * @param retention time that a key is kept after the deadline of its call
     */
    public CallStateTable(Duration retention) {
        this.retention = retention;
    }

    /** What is known about one key. */
    private static final class Entry {
        private CallState state = FREE;
        private final Set<AttemptId> dead = new HashSet<>();
        private Instant keepUntil;

        Entry(Instant keepUntil) {
            this.keepUntil = keepUntil;
        }
    }

    /**
     * Applies one record.
     *
     * @param offset offset of the record; records below the next offset have no effect
     * @param appendedAt instant at which the log service took the record
     * @param record the record
     * @return true if the record was new
     */
    public boolean apply(long offset, Instant appendedAt, CallRecord record) {
        if (offset < nextOffset) {
            return false;
        }
        nextOffset = offset + 1;
        Entry entry = entries.computeIfAbsent(record.key(), key -> new Entry(appendedAt.plus(retention)));
        if (record instanceof CallRecord.Intent intent) {
            applyIntent(entry, intent);
        } else {
            applyEnd(entry, record);
        }
        return true;
    }

    private void applyIntent(Entry entry, CallRecord.Intent intent) {
        Instant keepUntil = intent.deadline().plus(retention);
        if (keepUntil.isAfter(entry.keepUntil)) {
            entry.keepUntil = keepUntil;
        }
        if (entry.state.equals(FREE) && !entry.dead.contains(intent.attempt())) {
            entry.state = new CallState.Held(intent.attempt(), intent.writer(), intent.bodyDigest(), intent.deadline());
        }
    }

    private static void applyEnd(Entry entry, CallRecord record) {
        boolean holds =
                entry.state instanceof CallState.Held held && held.attempt().equals(record.attempt());
        if (!holds) {
            if (record instanceof CallRecord.Void && !isSettledBy(entry, record.attempt())) {
                entry.dead.add(record.attempt());
            }
            return;
        }
        CallState.Held held = (CallState.Held) entry.state;
        if (record instanceof CallRecord.NotRun) {
            entry.dead.add(record.attempt());
            entry.state = FREE;
        } else if (record instanceof CallRecord.Result result) {
            entry.state = new CallState.Answered(held.attempt(), held.bodyDigest(), result.answer());
        } else if (record instanceof CallRecord.Unknown) {
            entry.state = new CallState.OutcomeUnknown(held.attempt(), held.bodyDigest());
        }
    }

    private static boolean isSettledBy(Entry entry, AttemptId attempt) {
        return entry.state instanceof CallState.Answered answered
                        && answered.attempt().equals(attempt)
                || entry.state instanceof CallState.OutcomeUnknown unknown
                        && unknown.attempt().equals(attempt);
    }

    /**
     * Returns the state of a key.
     *
     * @param key the key
     * @return its state
     */
    public CallState state(CallKey key) {
        Entry entry = entries.get(key);
        return entry == null ? FREE : entry.state;
    }

    /**
     * Tells whether an attempt can never run.
     *
     * @param key key of the attempt
     * @param attempt the attempt
     * @return true if a record that precedes any hold voided it, or its writer gave it up
     */
    public boolean isDead(CallKey key, AttemptId attempt) {
        Entry entry = entries.get(key);
        return entry != null && entry.dead.contains(attempt);
    }

    /**
     * Forgets keys whose retention has passed.
     *
     * @param now the present instant
     */
    public void expire(Instant now) {
        entries.values().removeIf(entry -> entry.keepUntil.isBefore(now));
    }

    /**
     * Passes over a record that could not be decoded.
     *
     * @param offset offset of the record
     */
    public void skip(long offset) {
        nextOffset = Math.max(nextOffset, offset + 1);
    }

    /**
     * Returns the offset of the next record to apply.
     *
     * @return the offset
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Returns the number of keys.
     *
     * @return keys known
     */
    public int size() {
        return entries.size();
    }
}
