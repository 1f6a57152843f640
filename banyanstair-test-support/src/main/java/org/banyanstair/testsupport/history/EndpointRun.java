package org.banyanstair.testsupport.history;

import java.time.Instant;
import java.util.Optional;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;

/**
 * Describes one run of a request as its endpoint recorded it, including runs that were aborted.
 *
 * @param requestId request id that the endpoint received
 * @param key idempotency key or marker in the body, as in {@link EventContext}
 * @param adapter adapter version that it ran on, empty for a plain service
 * @param textDigest digest of the text or body
 * @param start when the run started
 * @param end when the run ended
 */
public record EndpointRun(
        EndpointId endpoint,
        String requestId,
        String key,
        Optional<AdapterVersion> adapter,
        int tokens,
        String textDigest,
        Instant start,
        Instant end) {}
