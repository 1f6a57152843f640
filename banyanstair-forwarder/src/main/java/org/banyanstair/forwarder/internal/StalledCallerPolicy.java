package org.banyanstair.forwarder.internal;

import java.time.Duration;

/** Decides how long a caller may read nothing of what waits for it. */
final class StalledCallerPolicy {
    /** Limit while only the host holds the response; also enough for a caller whose network is lost for a while. */
    private static final Duration BUFFERED_LIMIT = Duration.ofSeconds(30);

    /**
     * Limit while the endpoint has to wait as well. Endpoints abort a response that stays unread for some seconds; 3 s
     * would cut callers that pause for a garbage collection or a lost packet.
     */
    private static final Duration ENDPOINT_WAITS_LIMIT = Duration.ofSeconds(5);

    /** Limit while memory is scarce; longer than the retransmission of a lost packet. */
    private static final Duration SCARCE_LIMIT = Duration.ofSeconds(2);

    private StalledCallerPolicy() {}

    /**
     * Returns the time without progress after which a caller is disconnected.
     *
     * @param endpointWaits whether reading from the endpoint is paused for this caller
     * @param memoryScarce whether most of the memory for callers is in use
     */
    static Duration limit(boolean endpointWaits, boolean memoryScarce) {
        if (memoryScarce) {
            return SCARCE_LIMIT;
        }
        return endpointWaits ? ENDPOINT_WAITS_LIMIT : BUFFERED_LIMIT;
    }
}
