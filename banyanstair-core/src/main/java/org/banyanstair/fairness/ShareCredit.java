package org.banyanstair.fairness;

import java.time.Duration;
import java.time.Instant;

/**
 * Admits the requests of one team at a rate on this host, evenly spread.
 *
 * <p>Credit accumulates with time. A request is admitted while credit is left, and may use more than is left, because a
 * host with a small rate would never have enough for a long request. Not thread-safe.
 */
public final class ShareCredit {
    /** Time whose rate may be saved, and at least one request, so that irregular arrivals at the rate are admitted. */
    private static final double SAVED_SECONDS = 0.5;

    private double credit;
    private Instant updatedAt = Instant.MIN;

    /**
     * Admits a request, or not.
     *
     * @param perSecond tokens a second that the team may use on this host
     * @param tokens cost of the request
     */
    public boolean admit(double perSecond, double tokens, Instant now) {
        double limit = Math.max(tokens, perSecond * SAVED_SECONDS);
        if (updatedAt.equals(Instant.MIN)) {
            credit = limit;
        } else if (updatedAt.isBefore(now)) {
            credit = Math.min(
                    limit, credit + perSecond * Duration.between(updatedAt, now).toNanos() / 1e9);
        }
        updatedAt = now;
        if (credit <= 0) {
            return false;
        }
        credit -= tokens;
        return true;
    }
}
