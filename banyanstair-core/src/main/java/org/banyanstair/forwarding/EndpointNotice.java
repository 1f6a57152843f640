package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.Optional;

/**
 * What an endpoint says about itself in the head of a response.
 *
 * @param leaving whether it is about to stop, so that it gets no new requests
 * @param pauseUntil until when it wants no requests of this host; empty if it asks for no pause
 * @param unreadablePause the text of a pause that cannot be read; empty if there is none
 * @param limit whether it limits the requests of all hosts together
 */
public record EndpointNotice(
        boolean leaving, Optional<Instant> pauseUntil, Optional<String> unreadablePause, RequestLimitNotice limit) {
    /** Checks that a pause is not both read and unreadable. */
    public EndpointNotice {
        if (pauseUntil.isPresent() && unreadablePause.isPresent()) {
            throw new IllegalArgumentException("the pause " + unreadablePause.get() + " was read");
        }
    }

    /** Creates the notice of an endpoint that says nothing of a limit. */
    public EndpointNotice(boolean leaving, Optional<Instant> pauseUntil, Optional<String> unreadablePause) {
        this(leaving, pauseUntil, unreadablePause, RequestLimitNotice.UNKNOWN);
    }

    /** Returns whether the notice says nothing, or only that there is no limit. */
    public boolean isEmpty() {
        return !leaving && pauseUntil.isEmpty() && unreadablePause.isEmpty() && !limit.saysSomething();
    }
}
