package org.banyanstair.versions;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

import org.banyanstair.model.RequestId;

/**
 * Streams of a service that one software version began.
 *
 * @param requests callers' attempts that brought the first event of each stream
 * @param expiresAt when no caller waits for the rest of any of them, on the local steady clock
 */
public record StreamBatch(String service, SoftwareVersion version, List<RequestId> requests, Instant expiresAt) {
    /** Copies the list. */
    public StreamBatch {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        requests = List.copyOf(requests);
        Objects.requireNonNull(expiresAt, "expiresAt");
    }
}
