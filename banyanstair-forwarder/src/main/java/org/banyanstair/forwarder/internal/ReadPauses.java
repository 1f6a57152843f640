package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.time.Instant;

/**
 * Tells whether an endpoint may have aborted a response because this host did not read it, on behalf of a slow caller.
 *
 * <p>Has no I/O. Used on the event loop thread only.
 */
final class ReadPauses {
    /** Shortest pause that an endpoint may take as a reason; shorter ones are common. */
    private static final Duration MINIMUM_PAUSE = Duration.ofSeconds(1);

    /** The end of the connection is read after what arrived before it, which the caller has to take first. */
    private static final Duration DETECTION_PERIOD = Duration.ofSeconds(2);

    private Instant pausedAt = Instant.MAX;
    private Instant excusedUntil = Instant.MIN;

    /** Records that reading is paused or goes on. */
    void update(boolean reading, Instant now) {
        if (!reading && pausedAt.equals(Instant.MAX)) {
            pausedAt = now;
        } else if (reading) {
            if (isLong(now)) {
                excusedUntil = now.plus(DETECTION_PERIOD);
            }
            pausedAt = Instant.MAX;
        }
    }

    private boolean isLong(Instant now) {
        return pausedAt.isBefore(now) && Duration.between(pausedAt, now).compareTo(MINIMUM_PAUSE) >= 0;
    }

    /** Returns whether a response that breaks off now may have been unread for too long. */
    boolean excuseEndpoint(Instant now) {
        return isLong(now) || now.isBefore(excusedUntil);
    }
}
