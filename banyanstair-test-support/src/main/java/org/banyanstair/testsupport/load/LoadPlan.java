package org.banyanstair.testsupport.load;

import java.time.Duration;

/**
 * Rate and limits of a load.
 *
 * @param requestsPerSecond mean arrival rate
 * @param maximumRequests the load ends after this many requests
 * @param maximumTime the load ends after this time
 * @param drainTime maximum time to wait for outstanding requests after the last one was started
 * @param seed seed of the arrival times and of each request's random numbers
 */
public record LoadPlan(
        double requestsPerSecond, long maximumRequests, Duration maximumTime, Duration drainTime, long seed) {
    /** Checks the rate and the limits. */
    public LoadPlan {
        if (!(requestsPerSecond > 0) || maximumRequests < 1 || maximumTime.isNegative() || drainTime.isNegative()) {
            throw new IllegalArgumentException(
                    "requestsPerSecond and maximumRequests must be positive, maximumTime and drainTime not negative");
        }
    }
}
