package org.banyanstair.forwarding;

import java.time.Instant;

/**
 * When a host that is shutting down ends.
 *
 * @param estimatesUntil until then, a new request is accepted if it is expected to be complete in time; afterwards only
 *     if its own deadline has passed in time
 * @param deadline when the requests that are still open end without a complete answer
 */
public record StopSchedule(Instant estimatesUntil, Instant deadline) {
    /** The schedule of a host that is not shutting down. */
    static final StopSchedule NEVER = new StopSchedule(Instant.MAX, Instant.MAX);

    /** Checks the order of the instants. */
    public StopSchedule {
        if (estimatesUntil.isAfter(deadline)) {
            throw new IllegalArgumentException("estimates until " + estimatesUntil + " after deadline " + deadline);
        }
    }
}
