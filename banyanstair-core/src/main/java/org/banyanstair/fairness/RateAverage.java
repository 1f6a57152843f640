package org.banyanstair.fairness;

import java.time.Duration;
import java.time.Instant;

/** Exponentially decaying average of a rate. Not thread-safe. */
public final class RateAverage {
    /** Time constant; short against a burst of 5 s, long against the time between two requests of a busy team. */
    private static final double DECAY_SECONDS = 1;

    private double perSecond;
    private Instant updatedAt = Instant.MIN;

    /** Adds an amount. */
    public void record(double amount, Instant now) {
        decay(now);
        perSecond += amount / DECAY_SECONDS;
    }

    /** Returns the amount a second. */
    public double perSecond(Instant now) {
        decay(now);
        return perSecond;
    }

    private void decay(Instant now) {
        if (updatedAt.isBefore(now)) {
            if (perSecond > 0) {
                perSecond *= Math.exp(-Duration.between(updatedAt, now).toNanos() / (1e9 * DECAY_SECONDS));
            }
            updatedAt = now;
        }
    }
}
