package org.banyanstair.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Estimates the requests a second that this host gets for each service. Not thread-safe. */
public final class DemandEstimator {
    /** Time constant of the exponentially decaying average. */
    private static final Duration DECAY_TIME = Duration.ofSeconds(10);

    private final Map<String, Average> averages = new HashMap<>();

    private static final class Average {
        private double perSecond;
        private Instant updatedAt = Instant.MIN;

        void decay(Instant now) {
            if (updatedAt.isBefore(now)) {
                double elapsed = updatedAt.equals(Instant.MIN)
                        ? Double.POSITIVE_INFINITY
                        : (double) Duration.between(updatedAt, now).toMillis() / DECAY_TIME.toMillis();
                perSecond *= Math.exp(-elapsed);
                updatedAt = now;
            }
        }
    }

    /** Counts a request. */
    public void record(String service, Instant now) {
        Average average = averages.computeIfAbsent(service, name -> new Average());
        average.decay(now);
        average.perSecond += 1.0 / DECAY_TIME.toSeconds();
    }

    /** Returns the requests a second for a service. */
    public double perSecond(String service, Instant now) {
        Average average = averages.get(service);
        if (average == null) {
            return 0;
        }
        average.decay(now);
        return average.perSecond;
    }
}
