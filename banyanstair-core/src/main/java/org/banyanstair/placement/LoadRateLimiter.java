package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;

import org.banyanstair.configuration.PoolDeclaration;

/** The pool's share of the weight store: loads a second and loads in transit. Not safe for use by several threads. */
final class LoadRateLimiter {
    /** Loads that may start at once after an idle time; more would make the store queue them. */
    private static final double BURST_LOADS = 2;

    private double tokens = BURST_LOADS;
    private Instant refilledAt = Instant.MIN;

    boolean canStartLoad(PoolDeclaration declaration, int loadsInTransit, Instant now) {
        refill(declaration, now);
        return tokens >= 1 && loadsInTransit < declaration.loadsInTransit();
    }

    void consume() {
        tokens -= 1;
    }

    private void refill(PoolDeclaration declaration, Instant now) {
        if (!refilledAt.equals(Instant.MIN)) {
            double seconds = Duration.between(refilledAt, now).toNanos() / 1e9;
            tokens = Math.min(BURST_LOADS, tokens + seconds * declaration.loadsPerSecond());
        }
        refilledAt = now;
    }
}
