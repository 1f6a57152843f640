package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;

/**
 * An occupied adapter slot of a runner.
 *
 * @param version version of the adapter, -1 while it is being unloaded
 * @param readyAt when the adapter can be used; in the past if it can already
 */
record AdapterSlot(long version, Instant readyAt) {
    /** Time from the end of a load for another host's request until that request shows up in the usage reports. */
    private static final Duration FIRST_USE = Duration.ofMillis(250);

    /** Marks an adapter that is being unloaded; lower than any version that a request needs. */
    private static final long UNLOADING = -1;

    static AdapterSlot unloading(Instant until) {
        return new AdapterSlot(UNLOADING, until);
    }

    boolean isReady(Instant now) {
        return !now.isBefore(readyAt);
    }

    /** Returns whether the adapter is in transit from the weight store. */
    boolean isLoading(Instant now) {
        return version != UNLOADING && !isReady(now);
    }

    /** Returns whether the request for which the adapter was loaded would have shown up in the usage reports by now. */
    boolean isPastFirstUse(Instant now) {
        return readyAt.equals(Instant.MIN) || now.isAfter(readyAt.plus(FIRST_USE));
    }
}
