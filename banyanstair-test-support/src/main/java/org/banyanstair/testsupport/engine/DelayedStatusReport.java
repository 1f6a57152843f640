package org.banyanstair.testsupport.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Reports the engine status as it was a fixed lag ago. Not thread-safe; used only on the engine's scheduler thread. */
final class DelayedStatusReport {
    private static final int SAMPLES_PER_LAG = 10;

    private final long lagNanos;
    private final Supplier<Map<String, Object>> source;
    private final Deque<Entry> entries = new ArrayDeque<>();

    DelayedStatusReport(long lagMilliseconds, Supplier<Map<String, Object>> source) {
        this.lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMilliseconds);
        this.source = source;
    }

    private record Entry(long atNanos, Map<String, Object> status) {}

    void start(ScheduledExecutorService scheduler) {
        if (lagNanos > 0) {
            scheduler.scheduleAtFixedRate(this::capture, 0, lagNanos / SAMPLES_PER_LAG, TimeUnit.NANOSECONDS);
        }
    }

    /** Discards the samples of an earlier incarnation. */
    void clear() {
        entries.clear();
    }

    Map<String, Object> current() {
        if (lagNanos == 0) {
            return source.get();
        }
        if (entries.isEmpty()) {
            capture();
        }
        return entries.getFirst().status();
    }

    private void capture() {
        long now = System.nanoTime();
        entries.addLast(new Entry(now, source.get()));
        Entry last = entries.getFirst();
        while (now - entries.getFirst().atNanos() >= lagNanos) {
            last = entries.removeFirst();
        }
        // Keep the newest sample that is older than the lag; current() returns it.
        if (now - last.atNanos() >= lagNanos) {
            entries.addFirst(last);
        }
    }
}
