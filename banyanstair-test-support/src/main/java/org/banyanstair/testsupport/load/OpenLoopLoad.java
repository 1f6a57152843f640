package org.banyanstair.testsupport.load;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Open-loop load generator: starts requests as a Poisson process that does not depend on earlier responses.
 *
 * <p>Latency is measured from the intended start, which avoids coordinated omission when a request starts late.
 */
public final class OpenLoopLoad {
    private final LoadPlan plan;
    private final LoadOperation operation;
    private final InstantSource instants = InstantSource.system();
    private final LoadStatistics statistics = new LoadStatistics();

    /** Creates a load generator. */
    public OpenLoopLoad(LoadPlan plan, LoadOperation operation) {
        this.plan = plan;
        this.operation = operation;
    }

    /** Generates the load on the calling thread. Must be called only once. */
    public LoadReport run() throws InterruptedException {
        SplittableRandom arrivals = new SplittableRandom(plan.seed());
        SplittableRandom seeds = arrivals.split();
        Instant begin = instants.instant();
        Instant end = begin.plus(plan.maximumTime());
        Instant intended = nextArrival(begin, arrivals);
        for (long sequence = 0; sequence < plan.maximumRequests() && intended.isBefore(end); sequence++) {
            sleepUntil(intended);
            start(sequence, new Random(seeds.nextLong()), intended);
            intended = nextArrival(intended, arrivals);
        }
        statistics.awaitFinished(plan.drainTime());
        return statistics.report();
    }

    private Instant nextArrival(Instant previous, SplittableRandom arrivals) {
        double seconds = arrivals.nextExponential() / plan.requestsPerSecond();
        return previous.plusNanos((long) (seconds * TimeUnit.SECONDS.toNanos(1)));
    }

    private void sleepUntil(Instant instant) throws InterruptedException {
        Duration wait = Duration.between(instants.instant(), instant);
        if (!wait.isNegative()) {
            TimeUnit.NANOSECONDS.sleep(wait.toNanos());
        }
    }

    private void start(long sequence, Random random, Instant intended) {
        statistics.started(intended, instants.instant());
        startOrFail(sequence, random, intended).whenComplete((result, failure) -> {
            LoadResult known = failure == null
                    ? result
                    : new LoadResult(LoadOutcome.FAILED, failure.getClass().getSimpleName(), List.of());
            statistics.finished(intended, instants.instant(), known);
        });
    }

    private CompletableFuture<LoadResult> startOrFail(long sequence, Random random, Instant intended) {
        try {
            return operation.start(sequence, random, intended);
        } catch (RuntimeException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }
}
