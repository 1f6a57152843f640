package org.banyanstair.forwarding;

import java.time.Instant;

/**
 * An adapter on a runner.
 *
 * @param version its version
 * @param readyAt when it can be used; past if it can
 */
record AdapterPlace(long version, Instant readyAt) {
    boolean isReady(Instant now) {
        return !now.isBefore(readyAt);
    }
}
