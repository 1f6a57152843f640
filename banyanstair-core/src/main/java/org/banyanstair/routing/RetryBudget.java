package org.banyanstair.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits retries to a share of the first tries of the last seconds, so that retries cannot multiply an overload.
 *
 * <p>Not safe for use by several threads.
 */
public final class RetryBudget {
    /** Retries that are allowed in a window even without traffic, so that a single failure can be retried. */
    public static final int MINIMUM_RETRIES = 20;

    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final Deque<Instant> firstAttempts = new ArrayDeque<>();
    private final Deque<Instant> retries = new ArrayDeque<>();

    /** Counts a first try. */
    public void recordFirstAttempt(Instant now) {
        firstAttempts.addLast(now);
        removeExpired(firstAttempts, now);
    }

    /**
     * Takes a retry from the budget.
     *
     * @param share retries as a share of first tries
     * @return false if the budget is used up
     */
    public boolean tryAcquire(double share, Instant now) {
        return tryAcquire(share, MINIMUM_RETRIES, now);
    }

    /**
     * Takes a retry from the budget.
     *
     * @param share retries as a share of first tries
     * @param minimum retries that are allowed in a window whatever the first tries
     * @return false if the budget is used up
     */
    public boolean tryAcquire(double share, double minimum, Instant now) {
        removeExpired(firstAttempts, now);
        removeExpired(retries, now);
        if (retries.size() + 1 > Math.max(minimum, share * firstAttempts.size())) {
            return false;
        }
        retries.addLast(now);
        return true;
    }

    private static void removeExpired(Deque<Instant> instants, Instant now) {
        Instant start = now.minus(WINDOW);
        while (!instants.isEmpty() && instants.peekFirst().isBefore(start)) {
            instants.removeFirst();
        }
    }
}
