package org.banyanstair.forwarding;

import java.time.Duration;

/**
 * Limits for what callers send.
 *
 * @param headerBytes longest request line and headers
 * @param bodyBytes longest body
 * @param headerTimeout longest time until the headers are complete
 * @param idleTimeout longest time between two requests on a connection
 */
public record RequestLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits until the first configuration is known; those of a usual HTTP server. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16 << 10, 4 << 20, Duration.ofSeconds(5), Duration.ofSeconds(15));
}
