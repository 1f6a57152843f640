package org.banyanstair.fairness;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Spreads the retries of refused requests over the time that a service needs to clear its backlog.
 *
 * <p>Successive delays follow the multiples of the golden ratio modulo 1, which cover the interval evenly for any
 * number of requests. Not thread-safe.
 */
public final class RetrySpread {
    /** Minimum delay, so that no retry meets the same backlog. */
    public static final Duration MINIMUM_DELAY = Duration.ofMillis(200);

    /** Maximum time over which retries are spread; a backlog cannot be predicted further ahead. */
    public static final Duration MAXIMUM_SPREAD = Duration.ofSeconds(6);

    /** Minimum time over which retries are spread, also if the backlog is short. */
    private static final Duration MINIMUM_SPREAD = Duration.ofMillis(400);

    private static final double GOLDEN_RATIO = 0.6180339887498949;

    private double position;

    /**
     * Creates a spread.
     *
     * @param seed different on each host, so that hosts do not give the same delays at the same time
     */
    public RetrySpread(long seed) {
        // Seeds that differ by a fixed amount must not lead to positions on the same sequence.
        position = new SplittableRandom(seed).nextDouble();
    }

    /**
     * Returns the delay of the next refused request, different from those before.
     *
     * @param backlog tokens that wait or return on all hosts
     * @param drainPerSecond tokens that are served a second for all hosts
     */
    public Duration next(double backlog, double drainPerSecond) {
        nextPosition();
        double seconds = drainPerSecond > 0 ? backlog / drainPerSecond : Double.POSITIVE_INFINITY;
        double spread = Math.max(MINIMUM_SPREAD.toMillis(), Math.min(MAXIMUM_SPREAD.toMillis(), seconds * 1000));
        return MINIMUM_DELAY.plusNanos((long) (spread * position * 1e6));
    }

    /** Returns the next position in the sequence, from 0 to 1. */
    public double nextPosition() {
        position = (position + GOLDEN_RATIO) % 1;
        return position;
    }
}
