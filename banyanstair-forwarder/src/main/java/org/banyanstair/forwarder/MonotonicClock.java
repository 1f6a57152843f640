package org.banyanstair.forwarder;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that never goes back and notices when the process stood still.
 *
 * <p>Its instants count from an arbitrary start, so they mean nothing to other hosts. Not safe for use by several
 * threads, but for {@link #instant}.
 */
public final class MonotonicClock implements InstantSource {
    /** Difference between the steady clock and the time of day that counts as a suspension or a jump. */
    private static final Duration GAP_THRESHOLD = Duration.ofMillis(400);

    private final long startNanos = System.nanoTime();
    private long lastOffsetMillis = wallMinusMonotonicMillis();

    @Override
    public Instant instant() {
        return Instant.ofEpochSecond(0, System.nanoTime() - startNanos + 1_000_000_000L);
    }

    /**
     * Tells whether the time of day has moved against the steady clock since the last call. The steady clock does not
     * count the time in which a machine is suspended.
     *
     * @return whether the process may have been suspended
     */
    public boolean detectGap() {
        long offset = wallMinusMonotonicMillis();
        boolean gap = Math.abs(offset - lastOffsetMillis) > GAP_THRESHOLD.toMillis();
        lastOffsetMillis = offset;
        return gap;
    }

    private static long wallMinusMonotonicMillis() {
        return System.currentTimeMillis() - System.nanoTime() / 1_000_000;
    }
}
