package org.banyanstair.testsupport.load;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/** Collects the results of a running load. Thread-safe. */
final class LoadStatistics {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long MAX_RECORDED_MICROS = Duration.ofHours(1).toNanos() / 1_000;

    private final Map<LoadOutcome, Long> outcomes = new EnumMap<>(LoadOutcome.class);
    private final Map<String, Long> codes = new TreeMap<>();
    private final Histogram latency = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram firstToken = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram tokenGap = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram startDelay = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    private long started;
    private long finished;

    synchronized void started(Instant intended, Instant actual) {
        started++;
        record(startDelay, intended, actual);
    }

    synchronized void finished(Instant intended, Instant end, LoadResult result) {
        finished++;
        notifyAll();
        outcomes.merge(result.outcome(), 1L, Long::sum);
        if (result.outcome() != LoadOutcome.ANSWERED) {
            codes.merge(result.code(), 1L, Long::sum);
            return;
        }
        record(latency, intended, end);
        List<Instant> tokens = result.tokenTimes();
        for (int index = 0; index < tokens.size(); index++) {
            record(
                    index == 0 ? firstToken : tokenGap,
                    index == 0 ? intended : tokens.get(index - 1),
                    tokens.get(index));
        }
    }

    /** Waits until all started requests have finished or the limit has passed. */
    synchronized void awaitFinished(Duration limit) throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        long left = limit.toNanos();
        while (finished < started && left > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, left);
            left = end - System.nanoTime();
        }
    }

    synchronized LoadReport report() {
        return new LoadReport(
                started,
                started - finished,
                outcomes,
                codes,
                latency.copy(),
                firstToken.copy(),
                tokenGap.copy(),
                startDelay.copy());
    }

    private static void record(Histogram histogram, Instant from, Instant to) {
        long micros = Duration.between(from, to).toNanos() / 1_000;
        histogram.recordValue(Math.max(0, Math.min(MAX_RECORDED_MICROS, micros)));
    }
}
