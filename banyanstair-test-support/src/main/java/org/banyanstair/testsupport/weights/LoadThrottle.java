package org.banyanstair.testsupport.weights;

/**
 * Decides when loads start and how long they take.
 *
 * <p>The rate is a token bucket whose debt is the waiting line: a load that finds no token starts when its token comes.
 * Safe for use by several threads.
 */
final class LoadThrottle {
    private static final double NANOS_PER_SECOND = 1e9;

    private final WeightStoreSettings settings;
    private double tokens;
    private long refilledAtNanos;
    private int inTransit;

    LoadThrottle(WeightStoreSettings settings, long nowNanos) {
        this.settings = settings;
        tokens = settings.burst();
        refilledAtNanos = nowNanos;
    }

    /** Takes a place in the line and returns the nanoseconds until the load may start. */
    synchronized long reserveStart(long nowNanos) {
        double added = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * settings.loadsPerSecond();
        tokens = Math.min(settings.burst(), tokens + added) - 1;
        refilledAtNanos = nowNanos;
        return tokens >= 0 ? 0 : (long) (-tokens / settings.loadsPerSecond() * NANOS_PER_SECOND);
    }

    /** Counts a transfer as in transit and returns its length in nanoseconds, fixed at its start. */
    synchronized long beginTransfer() {
        inTransit++;
        double factor = Math.max(1, (double) inTransit / settings.transitLimit());
        return (long) (settings.transferTime().toNanos() * factor);
    }

    synchronized void endTransfer() {
        inTransit--;
    }
}
