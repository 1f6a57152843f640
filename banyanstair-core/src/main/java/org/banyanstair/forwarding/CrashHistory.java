package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.banyanstair.model.EndpointId;

/**
 * Counts the endpoints that crashed while they ran a request, to refuse requests that crash endpoints.
 *
 * <p>Each host that had a request on the crashed endpoint reports it. Only a request that was on each of three crashed
 * endpoints is refused; other requests on the same endpoints are practically never on all three.
 */
final class CrashHistory {
    /** Crashes after which a request is refused; the platform tolerates three more runs after the third. */
    private static final int MAXIMUM_CRASHES = 3;

    private static final Duration RETENTION = Duration.ofMinutes(2);

    private static final int CAPACITY = 4096;

    private final Map<Long, Entry> entries = new LinkedHashMap<>();

    private static final class Entry {
        private final Set<Crash> crashes = new HashSet<>();
        private Instant expiresAt = Instant.MIN;
    }

    private record Crash(EndpointId endpoint, long started) {}

    /** Adds a crash; returns whether the request is refused from now on. */
    boolean add(long fingerprint, EndpointId endpoint, long started, Instant now) {
        entries.values().removeIf(entry -> now.isAfter(entry.expiresAt));
        if (entries.size() >= CAPACITY) {
            entries.remove(entries.keySet().iterator().next());
        }
        Entry entry = entries.computeIfAbsent(fingerprint, key -> new Entry());
        entry.expiresAt = now.plus(RETENTION);
        return entry.crashes.add(new Crash(endpoint, started)) && entry.crashes.size() == MAXIMUM_CRASHES;
    }

    /** Clears a request that an endpoint has completed; returns the number of its crashes. */
    int completed(long fingerprint) {
        Entry entry = entries.remove(fingerprint);
        return entry == null ? 0 : entry.crashes.size();
    }

    /** Returns the number of crashes under a request. */
    int count(long fingerprint) {
        Entry entry = entries.get(fingerprint);
        return entry == null ? 0 : entry.crashes.size();
    }

    /** Returns the number of requests that are refused. */
    int refusals() {
        return (int) entries.keySet().stream().filter(this::isRefused).count();
    }

    boolean isRefused(long fingerprint) {
        Entry entry = entries.get(fingerprint);
        return entry != null && entry.crashes.size() >= MAXIMUM_CRASHES;
    }
}
