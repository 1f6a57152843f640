package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;

/**
 * Learns by how much loads of adapters take longer than expected.
 *
 * <p>Answers load of requests that reach a runner just before their adapter: each is rejected and costs a retry that
 * all share. Loads take longer with the size of the adapters and with the loads of others, and no message tells.
 */
final class LoadDelayEstimator {
    /** Added when a load was late; a few of the steps of an engine. */
    private static final Duration STEP = Duration.ofMillis(30);

    /** Most that is added; later ones are looked up at the runner. */
    private static final Duration MAXIMUM_MARGIN = Duration.ofMillis(90);

    /** Time without a late load in which the margin halves. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(20);

    private Duration margin = Duration.ZERO;
    private Instant recordedAt = Instant.MIN;

    /** A load was late. */
    void recordLateLoad(Instant now) {
        Duration increased = margin(now).plus(STEP);
        margin = increased.compareTo(MAXIMUM_MARGIN) < 0 ? increased : MAXIMUM_MARGIN;
        recordedAt = now;
    }

    /** Returns the time to add to the expected end of a load. */
    Duration margin(Instant now) {
        if (margin.isZero()) {
            return margin;
        }
        double halvings = (double) Duration.between(recordedAt, now).toMillis() / HALF_LIFE.toMillis();
        return Duration.ofMillis((long) (margin.toMillis() * Math.pow(0.5, halvings)));
    }
}
