package org.banyanstair.testsupport.history;

import java.time.Instant;
import java.util.Optional;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;

/**
 * One run of a request, as its endpoint recorded it. Runs that were cut off count too.
 *
 * @param endpoint the endpoint
 * @param requestId request id that the endpoint was given
 * @param key idempotency key or body mark, as in {@link EventContext}
 * @param adapter adapter version that it ran on, empty for a plain service
 * @param tokens tokens generated
 * @param textDigest digest of the text or body
 * @param start when it started
 * @param end when it ended
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
