package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Simulates a weight store whose loads slow down in proportion above a number in transit that it does not tell. */
class LoadConcurrencyLimitTest {
    private static final Duration LOAD = Duration.ofMillis(250);

    private final LoadConcurrencyLimit limit = new LoadConcurrencyLimit();

    private record Load(Instant expectedAt, Instant readyAt) {}

    /** Capacities in transit and numbers of runners of small and large deployments. */
    @ParameterizedTest
    @CsvSource({"8,24", "42,104", "37,16", "63,40", "8,8"})
    void limitFollowsWhatTheStoreServes(int runners, int capacity) {
        PriorityQueue<Load> transit = new PriorityQueue<>((left, right) -> left.readyAt.compareTo(right.readyAt));
        Instant start = Instant.ofEpochSecond(100);
        int onTime = 0;
        int late = 0;
        double sum = 0;
        int samples = 0;
        for (int step = 0; step < 6_000; step++) {
            Instant now = start.plusMillis(step * 5L);
            while (!transit.isEmpty() && !transit.peek().readyAt.isAfter(now)) {
                Load done = transit.poll();
                boolean isLate = done.readyAt.isAfter(done.expectedAt);
                if (isLate) {
                    limit.recordLate(runners, now);
                } else {
                    limit.recordOnTime(transit.size() + 1, runners);
                }
                late += isLate && step >= 1_000 ? 1 : 0;
                onTime += !isLate && step >= 1_000 ? 1 : 0;
            }
            int current = limit.get(runners);
            while (transit.size() < current) {
                double slowdown = Math.max(1, (transit.size() + 1.0) / capacity);
                transit.add(new Load(
                        now.plus(RunnerTimings.ADAPTER_LOAD), now.plusMillis((long) (LOAD.toMillis() * slowdown))));
            }
            if (step >= 1_000) {
                sum += current;
                samples++;
            }
        }
        double average = sum / samples;
        String figures = "average limit " + average + ", on time " + onTime + ", late " + late;
        assertTrue(average >= 0.8 * capacity && average <= 1.3 * capacity, figures);
        assertTrue(late <= 0.05 * (onTime + late), figures);
    }
}
