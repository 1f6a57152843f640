package org.banyanstair.server.http.metrics;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.banyanstair.burn.BurnRateSample;
import org.banyanstair.configuration.ServiceDeclaration;

/** Request counts of one service per minute, retained for the longest window. */
final class MinuteBuckets {
    private static final int RETAINED_MINUTES = BurnRateRecorder.WINDOWS_MINUTES.stream()
            .mapToInt(Integer::intValue)
            .max()
            .orElseThrow();

    private final Deque<Bucket> buckets = new ArrayDeque<>();

    synchronized void add(long minute, boolean good, RequestSummary request) {
        while (!buckets.isEmpty() && buckets.getFirst().minute <= minute - RETAINED_MINUTES) {
            buckets.removeFirst();
        }
        if (buckets.isEmpty() || buckets.getLast().minute < minute) {
            buckets.addLast(new Bucket(minute));
        }
        Bucket bucket = buckets.getLast();
        bucket.requests++;
        bucket.good += good ? 1 : 0;
        if (!request.succeeded()) {
            bucket.failures.merge(request.code(), 1L, Long::sum);
        }
    }

    synchronized BurnRateSample sample(ServiceDeclaration service, long minute, int windowMinutes) {
        long requests = 0;
        long good = 0;
        Map<String, Long> failures = new HashMap<>();
        for (Bucket bucket : buckets) {
            if (bucket.minute > minute - windowMinutes) {
                requests += bucket.requests;
                good += bucket.good;
                bucket.failures.forEach((code, count) -> failures.merge(code, count, Long::sum));
            }
        }
        return new BurnRateSample(service.id(), service.objective(), windowMinutes, requests, good, failures);
    }

    private static final class Bucket {
        private final long minute;
        private final Map<String, Long> failures = new HashMap<>(2);
        private long requests;
        private long good;

        Bucket(long minute) {
            this.minute = minute;
        }
    }
}
