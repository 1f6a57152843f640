package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;

import org.banyanstair.configuration.PoolDeclaration;

/** Token bucket that limits the loads of a pool to its share of the weight store. Not thread-safe. */
final class LoadRateLimiter {
    /** Bucket capacity; the weight store would queue the loads of a larger burst. */
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
