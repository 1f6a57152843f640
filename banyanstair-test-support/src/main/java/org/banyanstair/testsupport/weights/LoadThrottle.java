package org.banyanstair.testsupport.weights;

/**
 * Limits the rate of loads and lengthens transfers under load.
 *
 * <p>Thread-safe. The rate limit is a token bucket that may go negative: a load without a token starts when its token
 * would be available.
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

    /** Takes a token and returns the nanoseconds until the load may start. */
    synchronized long reserveStart(long nowNanos) {
        double added = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * settings.loadsPerSecond();
        tokens = Math.min(settings.burst(), tokens + added) - 1;
        refilledAtNanos = nowNanos;
        return tokens >= 0 ? 0 : (long) (-tokens / settings.loadsPerSecond() * NANOS_PER_SECOND);
    }

    /** Counts a transfer as in transit and returns its duration in nanoseconds, which later transfers do not change. */
    synchronized long beginTransfer() {
        inTransit++;
        double factor = Math.max(1, (double) inTransit / settings.transitLimit());
        return (long) (settings.transferTime().toNanos() * factor);
    }

    synchronized void endTransfer() {
        inTransit--;
    }
}
