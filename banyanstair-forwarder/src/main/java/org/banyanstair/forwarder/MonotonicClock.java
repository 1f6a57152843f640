package org.banyanstair.forwarder;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * A monotonic clock that detects when the process was suspended.
 *
 * <p>Instants count from an arbitrary start and mean nothing to other hosts. Only {@link #instant} is thread-safe.
 */
public final class MonotonicClock implements InstantSource {
    /** Change of the wall clock against the monotonic clock that counts as a suspension or a clock step. */
    private static final Duration GAP_THRESHOLD = Duration.ofMillis(400);

    private final long startNanos = System.nanoTime();
    private long lastOffsetMillis = wallMinusMonotonicMillis();

    @Override
    public Instant instant() {
        return Instant.ofEpochSecond(0, System.nanoTime() - startNanos + 1_000_000_000L);
    }

    /**
     * Returns whether the wall clock has moved against the monotonic clock since the last call. The monotonic clock
     * does not advance while the machine is suspended.
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
