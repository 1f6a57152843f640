package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.Optional;

/**
 * What an endpoint says about itself in the head of a response.
 *
 * @param leaving whether it is about to stop, so that it gets no new requests
 * @param pauseUntil until when it wants no requests of this host; empty if it asks for no pause
 * @param unreadablePause the text of a pause that cannot be read; empty if there is none
 */
public record EndpointNotice(boolean leaving, Optional<Instant> pauseUntil, Optional<String> unreadablePause) {
    /** Checks that a pause is not both read and unreadable. */
    public EndpointNotice {
        if (pauseUntil.isPresent() && unreadablePause.isPresent()) {
            throw new IllegalArgumentException("the pause " + unreadablePause.get() + " was read");
        }
    }

    /** Returns whether the notice says nothing. */
    public boolean isEmpty() {
        return !leaving && pauseUntil.isEmpty() && unreadablePause.isEmpty();
    }
}
