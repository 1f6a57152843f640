package org.banyanstair.forwarding;

import java.time.Duration;

/**
 * Limits for the requests of callers.
 *
 * @param headerBytes maximum size of the request line and the headers
 * @param bodyBytes maximum size of the body
 * @param headerTimeout maximum time until the headers are complete
 * @param idleTimeout maximum time between two requests on a connection
 */
public record RequestLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits until the first configuration is known; usual defaults of HTTP servers. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16 << 10, 4 << 20, Duration.ofSeconds(5), Duration.ofSeconds(15));
}
