package org.banyanstair.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits retries to a share of the first attempts in a sliding window, so that retries cannot amplify an overload. Not
 * thread-safe.
 */
public final class RetryBudget {
    /** Retries allowed per window even without traffic, so that a single failure can be retried. */
    public static final int MINIMUM_RETRIES = 20;

    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final Deque<Instant> firstAttempts = new ArrayDeque<>();
    private final Deque<Instant> retries = new ArrayDeque<>();

    /** Records the first attempt of a request. */
    public void recordFirstAttempt(Instant now) {
        firstAttempts.addLast(now);
        removeExpired(firstAttempts, now);
    }

    /**
     * Acquires a retry with the default minimum.
     *
     * @param share maximum retries as a share of first attempts
     * @return false if the budget is exhausted
     */
    public boolean tryAcquire(double share, Instant now) {
        return tryAcquire(share, MINIMUM_RETRIES, now);
    }

    /**
     * Acquires a retry.
     *
     * @param share maximum retries as a share of first attempts
     * @param minimum retries allowed per window regardless of the number of first attempts
     * @return false if the budget is exhausted
     */
    public boolean tryAcquire(double share, double minimum, Instant now) {
        removeExpired(retries, now);
        if (retries.size() + 1 > limit(share, minimum, now)) {
            return false;
        }
        retries.addLast(now);
        return true;
    }

    /**
     * Returns the retries that are allowed per window now.
     *
     * @param share maximum retries as a share of first attempts
     * @param minimum retries allowed per window regardless of the number of first attempts
     */
    public double limit(double share, double minimum, Instant now) {
        removeExpired(firstAttempts, now);
        return Math.max(minimum, share * firstAttempts.size());
    }

    private static void removeExpired(Deque<Instant> instants, Instant now) {
        Instant start = now.minus(WINDOW);
        while (!instants.isEmpty() && instants.peekFirst().isBefore(start)) {
            instants.removeFirst();
        }
    }
}
