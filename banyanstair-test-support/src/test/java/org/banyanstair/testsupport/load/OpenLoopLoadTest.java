package org.banyanstair.testsupport.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class OpenLoopLoadTest {
    private static final LoadResult ANSWERED = new LoadResult(LoadOutcome.ANSWERED, "", List.of());

    /** Guards against coordinated omission: a stall must count in the latency of all requests that it delayed. */
    @Test
    void countsLatencyFromIntendedStart() throws Exception {
        LoadReport report = new OpenLoopLoad(plan(200, 100, 2_000), (sequence, random, intended) -> {
                    if (sequence == 10) {
                        CompletableFuture.runAsync(
                                        () -> {}, CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS))
                                .join();
                    }
                    return CompletableFuture.completedFuture(ANSWERED);
                })
                .run();
        assertEquals(100, report.count(LoadOutcome.ANSWERED));
        long delayed =
                report.latency().getCountBetweenValues(50_000, report.latency().getMaxValue());
        assertTrue(delayed > 20, "only " + delayed + " requests show the stall");
    }

    /** Guards against arrivals that wait for responses, and against unfinished requests that are not reported. */
    @Test
    void startsRequestsWhileOthersAreOutstanding() throws Exception {
        LoadReport report = new OpenLoopLoad(
                        plan(1_000, 50, 2_000), (sequence, random, intended) -> new CompletableFuture<>())
                .run();
        assertEquals(50, report.started());
        assertEquals(50, report.unfinished());
        assertEquals(0, report.latency().getTotalCount());
    }

    /** Guards against loads that exceed their maximum time or have a wrong rate. */
    @Test
    void endsAfterItsTime() throws Exception {
        LoadReport report = new OpenLoopLoad(
                        plan(500, 1_000_000, 1_000),
                        (sequence, random, intended) -> CompletableFuture.completedFuture(ANSWERED))
                .run();
        // 500 arrivals have a standard deviation of 22; the seed is fixed.
        assertTrue(report.started() > 400 && report.started() < 600, "started " + report.started());
    }

    /** Guards against loads that differ with the same seed or are ended by a failing operation. */
    @Test
    void repeatsWithSameSeedAndSurvivesExceptions() throws Exception {
        assertEquals(numbers(), numbers());
    }

    private static List<Integer> numbers() throws InterruptedException {
        List<Integer> numbers = Collections.synchronizedList(new ArrayList<>());
        LoadReport report = new OpenLoopLoad(plan(5_000, 20, 2_000), (sequence, random, intended) -> {
                    numbers.add(random.nextInt());
                    throw new IllegalStateException("sequence " + sequence);
                })
                .run();
        assertEquals(20, report.codes().get("IllegalStateException"));
        return numbers;
    }

    private static LoadPlan plan(double rate, long requests, long millis) {
        return new LoadPlan(rate, requests, Duration.ofMillis(millis), Duration.ofMillis(100), 7);
    }
}
