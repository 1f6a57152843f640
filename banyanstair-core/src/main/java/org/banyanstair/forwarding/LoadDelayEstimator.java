package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;

/**
 * Estimates by how much adapter loads exceed their expected time.
 *
 * <p>Requests that reach a runner just before their adapter are rejected, and each rejection costs a retry of the
 * shared budget. Load times grow with the size of the adapters and with concurrent loads, which no message reports.
 */
final class LoadDelayEstimator {
    /** Added to the margin for each late load; a few decoding steps of an engine. */
    private static final Duration STEP = Duration.ofMillis(30);

    /** Upper limit of the margin; for longer delays the runner's state is queried. */
    private static final Duration MAXIMUM_MARGIN = Duration.ofMillis(90);

    private static final Duration HALF_LIFE = Duration.ofSeconds(20);

    private Duration margin = Duration.ZERO;
    private Instant recordedAt = Instant.MIN;

    /** Increases the margin after a late load. */
    void recordLateLoad(Instant now) {
        Duration increased = margin(now).plus(STEP);
        margin = increased.compareTo(MAXIMUM_MARGIN) < 0 ? increased : MAXIMUM_MARGIN;
        recordedAt = now;
    }

    /** Returns the time to add to the expected end of a load; it halves for each half-life without a late load. */
    Duration margin(Instant now) {
        if (margin.isZero()) {
            return margin;
        }
        double halvings = (double) Duration.between(recordedAt, now).toMillis() / HALF_LIFE.toMillis();
        return Duration.ofMillis((long) (margin.toMillis() * Math.pow(0.5, halvings)));
    }
}
