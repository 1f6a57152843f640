package org.banyanstair.allotments;

import java.time.Instant;

/** Exponential average of units a second. Not thread-safe. */
final class RateEstimator {
    private double perSecond;
    private Instant countedUntil = Instant.MIN;

    /**
     * Counts units.
     *
     * @param seconds averaging time, above 0
     */
    void add(double units, double seconds, Instant now) {
        perSecond = perSecond(seconds, now) + units / seconds;
        countedUntil = now;
    }

    double perSecond(double seconds, Instant now) {
        return perSecond == 0 ? 0 : perSecond * Math.exp(-Seconds.between(countedUntil, now) / seconds);
    }
}
