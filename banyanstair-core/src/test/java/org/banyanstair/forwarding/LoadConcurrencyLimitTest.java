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

    private record Load(Instant expectedAt, Instant readyAt) {}

    /**
     * Simulates hosts of small and large deployments, which learn what others have observed after a delay.
     *
     * @param capacity loads in transit without a slowdown
     * @param delay milliseconds between two reports of what was observed
     */
    @ParameterizedTest
    @CsvSource({"8,24,5", "42,104,5", "37,16,5", "63,40,5", "8,8,5", "8,24,400", "42,104,400", "37,16,400", "8,8,400"})
    void limitFollowsWhatTheStoreServes(int runners, int capacity, int delay) {
        LoadConcurrencyLimit limit = new LoadConcurrencyLimit();
        PriorityQueue<Load> transit = new PriorityQueue<>((left, right) -> left.readyAt.compareTo(right.readyAt));
        Instant start = Instant.ofEpochSecond(100);
        int unreportedOnTime = 0;
        int unreportedLate = 0;
        int onTime = 0;
        int late = 0;
        double sum = 0;
        int samples = 0;
        for (int millisecond = 0; millisecond < 30_000; millisecond += 5) {
            Instant now = start.plusMillis(millisecond);
            boolean warm = millisecond >= 5_000;
            while (!transit.isEmpty() && !transit.peek().readyAt.isAfter(now)) {
                Load done = transit.poll();
                boolean isLate = done.readyAt.isAfter(done.expectedAt);
                unreportedOnTime += isLate ? 0 : 1;
                unreportedLate += isLate ? 1 : 0;
                late += isLate && warm ? 1 : 0;
                onTime += !isLate && warm ? 1 : 0;
            }
            if (millisecond % delay == 0) {
                if (unreportedLate > 0) {
                    limit.recordLate(runners, now);
                } else {
                    limit.recordOnTime(unreportedOnTime, runners, now);
                }
                unreportedOnTime = 0;
                unreportedLate = 0;
            }
            while (limit.utilization(transit.size(), runners, now) <= 1) {
                double slowdown = Math.max(1, (transit.size() + 1.0) / capacity);
                transit.add(new Load(
                        now.plus(RunnerTimings.ADAPTER_LOAD), now.plusMillis((long) (LOAD.toMillis() * slowdown))));
            }
            sum += warm ? transit.size() : 0;
            samples += warm ? 1 : 0;
        }
        double average = sum / samples;
        String figures = "average in transit " + average + ", on time " + onTime + ", late " + late;
        assertTrue(average >= 0.8 * capacity && average <= 1.3 * capacity, figures);
        assertTrue(late <= 0.05 * (onTime + late), figures);
    }
}
