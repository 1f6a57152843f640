package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;

import org.banyanstair.configuration.PoolDeclaration;

/** The pool's share of the weight store: loads a second and loads in transit. Not safe for use by several threads. */
final class LoadBudget {
    /** Loads that may start at once after an idle time; more would make the store queue them. */
    private static final double BURST = 2;

    private double tokens = BURST;
    private Instant filledAt = Instant.MIN;

    boolean allows(PoolDeclaration share, int inTransit, Instant now) {
        fill(share, now);
        return tokens >= 1 && inTransit < share.loadsInTransit();
    }

    void take() {
        tokens -= 1;
    }

    private void fill(PoolDeclaration share, Instant now) {
        if (!filledAt.equals(Instant.MIN)) {
            double seconds = Duration.between(filledAt, now).toNanos() / 1e9;
            tokens = Math.min(BURST, tokens + seconds * share.loadsPerSecond());
        }
        filledAt = now;
    }
}
