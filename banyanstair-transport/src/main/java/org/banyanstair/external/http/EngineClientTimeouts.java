package org.banyanstair.external.http;

import java.time.Duration;

/**
 * Timeouts of {@link HttpEngineClient}. A generation is limited by its own deadline.
 *
 * @param connect timeout for establishing a connection
 * @param command timeout for the response to a load, unload or fence command
 * @param status timeout for a status report
 * @param token timeout for the first token and between two tokens of a stream
 */
public record EngineClientTimeouts(Duration connect, Duration command, Duration status, Duration token) {
    /**
     * Defaults for a network within one region. The command timeout is several times an undisturbed load; a slower load
     * continues and becomes visible in the status, and if the response was lost, half of a usual deadline remains. The
     * token timeout is far above the target of 48 ms between tokens.
     */
    public static final EngineClientTimeouts DEFAULT = new EngineClientTimeouts(
            Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofSeconds(2), Duration.ofSeconds(3));
}
