package org.banyanstair.integration.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;
import org.banyanstair.codec.Mappers;
import org.banyanstair.testsupport.load.LoadOutcome;
import org.banyanstair.testsupport.load.LoadResult;

/** Latencies in microseconds of the streams on one request path. Thread-safe. */
final class StreamLatency {
    private static final long MAXIMUM_MICROS = Duration.ofMinutes(10).toNanos() / 1_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram firstToken = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram tokenGap = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
    private final Map<String, Integer> codes = new TreeMap<>();

    /** Records a result, measured from the intended start so that a slow load generator cannot hide a delay. */
    synchronized void add(Instant intended, LoadResult result) {
        if (result.outcome() != LoadOutcome.ANSWERED) {
            codes.merge(result.code(), 1, Integer::sum);
            return;
        }
        List<Instant> times = result.tokenTimes();
        for (int index = 0; index < times.size(); index++) {
            if (index == 0) {
                record(firstToken, intended, times.get(0));
            } else {
                record(tokenGap, times.get(index - 1), times.get(index));
            }
        }
    }

    private static void record(Histogram histogram, Instant from, Instant to) {
        long micros = Duration.between(from, to).toNanos() / 1_000;
        histogram.recordValue(Math.max(0, Math.min(MAXIMUM_MICROS, micros)));
    }

    synchronized long answered() {
        return firstToken.getTotalCount();
    }

    synchronized ObjectNode json() {
        ObjectNode json = Mappers.JSON.createObjectNode();
        json.put("answered", answered());
        json.set("failures", Mappers.JSON.valueToTree(codes));
        json.set("firstTokenMicros", percentiles(firstToken));
        json.set("tokenGapMicros", percentiles(tokenGap));
        return json;
    }

    static ObjectNode percentiles(Histogram histogram) {
        return Mappers.JSON
                .createObjectNode()
                .put("p50", histogram.getValueAtPercentile(50))
                .put("p95", histogram.getValueAtPercentile(95))
                .put("p99", histogram.getValueAtPercentile(99));
    }
}
