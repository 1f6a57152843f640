package org.banyanstair.testsupport.log;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the number of appends in any period of one second.
 *
 * <p>Thread-safe. Uses a sliding window, because a fixed window would admit twice the limit around its boundary.
 */
final class AppendRateLimiter {
    private static final Duration WINDOW = Duration.ofSeconds(1);

    private final int limit;
    private final Deque<Instant> admitted = new ArrayDeque<>();

    AppendRateLimiter(int limit) {
        this.limit = limit;
    }

    synchronized boolean tryAcquire(Instant now) {
        while (!admitted.isEmpty() && !admitted.peekFirst().plus(WINDOW).isAfter(now)) {
            admitted.removeFirst();
        }
        if (admitted.size() >= limit) {
            return false;
        }
        admitted.addLast(now);
        return true;
    }
}
