package org.banyanstair.testsupport.load;

import java.time.Duration;

/**
 * How much load to generate.
 *
 * @param requestsPerSecond mean rate of arrivals
 * @param maximumRequests the load ends after this many requests
 * @param maximumTime the load ends after this time
 * @param drainTime how long to wait for outstanding requests after the end of the load
 * @param seed seed of arrivals and requests
 */
public record LoadPlan(
        double requestsPerSecond, long maximumRequests, Duration maximumTime, Duration drainTime, long seed) {
    /** Checks the rate and the limits. */
    public LoadPlan {
        if (!(requestsPerSecond > 0) || maximumRequests < 1 || maximumTime.isNegative() || drainTime.isNegative()) {
            throw new IllegalArgumentException("rate and request limit must be positive, times not negative");
        }
    }
}
