package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Locale;
import java.util.function.Consumer;

import org.banyanstair.forwarding.DecisionRecord;

/** Counts and logs what is evicted from memory, by its state. Used on the event loop thread only. */
public final class MemoryEvictions {
    /** Shortest time between two lines of the same memory and state; a host that is short evicts hundreds a second. */
    private static final Duration LINE_INTERVAL = Duration.ofSeconds(1);

    private final InstantSource clock;
    private final Consumer<DecisionRecord> log;
    private final Tally[][] tallies = new Tally[ConnectionMemoryBudget.Kind.values().length][State.values().length];

    /** How far an evicted body, response or output was. */
    public enum State {
        /** It was not whole: its sender was still sending. */
        ARRIVING,
        /** It was whole, or waited at the socket, and its caller had not read it. */
        UNREAD;

        /** Returns the name used in metrics and logs. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private static final class Tally {
        private long total;
        private long logged;
        private Instant nextLineAt = Instant.MIN;
    }

    /** Creates a recorder that has counted nothing. */
    MemoryEvictions(InstantSource clock, Consumer<DecisionRecord> log) {
        this.clock = clock;
        this.log = log;
        for (Tally[] states : tallies) {
            for (int index = 0; index < states.length; index++) {
                states[index] = new Tally();
            }
        }
    }

    private Tally tally(ConnectionMemoryBudget.Kind kind, State state) {
        return tallies[kind.ordinal()][state.ordinal()];
    }

    /** Returns the number of evictions since the start. */
    public long total(ConnectionMemoryBudget.Kind kind, State state) {
        return tally(kind, state).total;
    }

    void record(ConnectionMemoryBudget.Kind kind, State state, long bytes, Duration stalled) {
        Tally tally = tally(kind, state);
        tally.total++;
        Instant now = clock.instant();
        if (now.isBefore(tally.nextLineAt)) {
            return;
        }
        log.accept(DecisionRecord.of(
                "memory-evicted",
                "memory",
                kind.name().toLowerCase(Locale.ROOT),
                "state",
                state.label(),
                "bytes",
                bytes,
                "no-progress-ms",
                stalled.toMillis(),
                "evictions",
                tally.total - tally.logged));
        tally.logged = tally.total;
        tally.nextLineAt = now.plus(LINE_INTERVAL);
    }
}
