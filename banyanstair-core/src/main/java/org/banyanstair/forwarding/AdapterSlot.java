package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;

/**
 * An adapter on a runner.
 *
 * @param version its version
 * @param readyAt when it can be used; past if it can
 */
record AdapterSlot(long version, Instant readyAt) {
    /** Time from the load of an adapter for a request of another host until that request is seen in its use. */
    private static final Duration FIRST_USE = Duration.ofMillis(250);

    /** Version of an adapter that is being unloaded; lower than any that a request needs. */
    private static final long UNLOADING = -1;

    static AdapterSlot unloading(Instant until) {
        return new AdapterSlot(UNLOADING, until);
    }

    boolean isReady(Instant now) {
        return !now.isBefore(readyAt);
    }

    /** Returns whether the adapter is on its way from the weight store. */
    boolean isLoading(Instant now) {
        return version != UNLOADING && !isReady(now);
    }

    /** Returns whether a request for which it was loaded would have been seen by now. */
    boolean isPastFirstUse(Instant now) {
        return readyAt.equals(Instant.MIN) || now.isAfter(readyAt.plus(FIRST_USE));
    }
}
