package org.banyanstair.fairness;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides when this host may send a request to a service whose slots are nearly all taken, so that hosts with the same
 * stale reports take only their part of what becomes free.
 *
 * <p>A host sends at its part of the rate at which slots become free, corrected by the reported number of free slots (a
 * negative number if endpoints queue requests), which is to be used up within the time that reports take. Not
 * thread-safe.
 */
public final class SlotPacer {
    /** Requests that may be saved up, so that irregular arrivals at a service with free slots do not wait. */
    private static final double MAXIMUM_CREDIT = 3;

    /** Lower limit of the pace as a part of that at which slots become free; reports may be wrong for long. */
    private static final double LEAST_PACE = 0.1;

    private double credit = 1;
    private Instant updatedAt = Instant.MIN;

    /**
     * Accounts for the time since the last call.
     *
     * @param part part of this host among all, above 0 and at most 1
     * @param drainPerSecond slots that become free a second
     * @param free slots that are free according to the reports of all hosts; negative if endpoints queue requests
     * @param reportTime time after which the reports of all hosts have arrived
     */
    public void advance(double part, double drainPerSecond, int free, Duration reportTime, Instant now) {
        if (updatedAt.isBefore(now) && !updatedAt.equals(Instant.MIN)) {
            double pace = Math.max(LEAST_PACE * drainPerSecond, drainPerSecond + free / (reportTime.toNanos() / 1e9));
            credit += part * pace * Duration.between(updatedAt, now).toNanos() / 1e9;
            credit = Math.min(credit, MAXIMUM_CREDIT);
        }
        updatedAt = now;
    }

    /** Returns whether a request may be sent now. */
    public boolean allowsRequest() {
        return credit >= 1;
    }

    /** Counts a request that is sent. */
    public void recordRequest() {
        credit = Math.max(-MAXIMUM_CREDIT, credit - 1);
    }
}
