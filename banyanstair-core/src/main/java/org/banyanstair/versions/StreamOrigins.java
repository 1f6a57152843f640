package org.banyanstair.versions;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.banyanstair.model.RequestId;

/**
 * The software version that began each stream, by the caller's attempt that brought its first event, from all hosts.
 *
 * <p>Forgets streams that have expired. Not thread-safe.
 */
public final class StreamOrigins {
    /** Time between two removals of what has expired. */
    private static final Duration REMOVAL_INTERVAL = Duration.ofSeconds(5);

    private final Map<RequestId, StreamOrigin> origins = new HashMap<>();
    private Instant nextRemovalAt = Instant.MIN;

    /** Records what began a stream; replaces what was known of it. */
    public void put(RequestId request, StreamOrigin origin, Instant now) {
        origins.put(request, origin);
        if (!now.isBefore(nextRemovalAt)) {
            nextRemovalAt = now.plus(REMOVAL_INTERVAL);
            origins.values().removeIf(known -> now.isAfter(known.expiresAt()));
        }
    }

    /** Records streams that a peer or the log knows; what is known of a stream already stays. */
    public void putIfUnknown(StreamBatch batch, Instant now) {
        StreamOrigin origin = new StreamOrigin(batch.service(), batch.version(), batch.expiresAt());
        for (RequestId request : batch.requests()) {
            if (!origins.containsKey(request)) {
                put(request, origin, now);
            }
        }
    }

    /** Returns what began a stream; empty if that is not known. */
    public Optional<StreamOrigin> find(RequestId request) {
        return Optional.ofNullable(origins.get(request));
    }

    /** Returns what began each stream that a caller may still resume. */
    public Map<RequestId, StreamOrigin> unexpired(Instant now) {
        return origins.entrySet().stream()
                .filter(entry -> now.isBefore(entry.getValue().expiresAt()))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }
}
