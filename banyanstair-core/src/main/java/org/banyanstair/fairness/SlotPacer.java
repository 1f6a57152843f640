package org.banyanstair.fairness;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides when this host may send the requests that wait for a slot, so that hosts with the same stale reports take only
 * their part of what becomes free.
 *
 * <p>A host sends at its part of the rate at which slots become free, corrected by the reported number of free slots (a
 * negative number if endpoints queue requests), which is to be used up within the time that reports take. Not
 * thread-safe.
 */
public final class SlotPacer {
    /** Lower limit of the pace as a part of that at which slots become free; reports may be wrong for long. */
    private static final double LEAST_PACE = 0.1;

    /** Time between two calls whose pace is not lost. */
    private static final double SAVED_SECONDS = 0.06;

    private double credit;
    private Instant updatedAt = Instant.MIN;

    /**
     * Begins when a request starts to wait and none did.
     *
     * @param phase part of the first request's time that counts as passed, from 0 to 1; different on each host
     */
    public void start(double phase, Instant now) {
        credit = phase;
        updatedAt = now;
    }

    /**
     * Accounts for the time since the last call.
     *
     * @param part part of this host among those on which requests wait, above 0 and at most 1
     * @param drainPerSecond slots that become free a second
     * @param free slots that are free according to the reports of all hosts; negative if endpoints queue requests
     * @param reportTime time after which the reports of all hosts have arrived
     */
    public void advance(double part, double drainPerSecond, double free, Duration reportTime, Instant now) {
        if (updatedAt.isBefore(now)) {
            double pace =
                    part * Math.max(LEAST_PACE * drainPerSecond, drainPerSecond + free / (reportTime.toNanos() / 1e9));
            credit += pace * Duration.between(updatedAt, now).toNanos() / 1e9;
            credit = Math.min(credit, 1 + pace * SAVED_SECONDS);
            updatedAt = now;
        }
    }

    /** Returns whether a request may be sent now. */
    public boolean allowsRequest() {
        return credit >= 1;
    }

    /** Counts a request that is sent. */
    public void recordRequest() {
        credit = Math.max(0, credit - 1);
    }
}
