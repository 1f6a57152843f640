package org.banyanstair.external.http;

import java.time.Duration;

/**
 * Limits on the waits of {@link HttpEngineClient}. The wait for a generation is limited by its deadline.
 *
 * @param connect longest wait for a connection
 * @param command longest wait for the answer to a load, an unload or a fence
 * @param status longest wait for a status report
 * @param token longest wait for the first token and longest pause between two tokens of a stream
 */
public record EngineClientTimeouts(Duration connect, Duration command, Duration status, Duration token) {
    /**
     * Limits for a network of one region. The order limit is several times an undisturbed load, and a slower one goes
     * on and is seen in the status; half of a usual deadline is left when an answer was lost. The silence limit is far
     * above the target of 48 ms between tokens.
     */
    public static final EngineClientTimeouts DEFAULT = new EngineClientTimeouts(
            Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofSeconds(2), Duration.ofSeconds(3));
}
