package org.banyanstair.versions;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The software versions that serve each service now, or did so recently enough that callers may still wait for the rest
 * of their streams.
 *
 * <p>Not thread-safe.
 */
public final class ServiceVersions {
    /** Time after which nobody waits for a stream of a version that has left; longer than callers wait. */
    public static final Duration RETENTION = Duration.ofSeconds(60);

    private final Map<String, Map<SoftwareVersion, Instant>> lastServed = new HashMap<>();

    /** Records that a version served a service at an instant; an uncertain version is one of those that serve anyway. */
    public void served(String service, SoftwareVersion version, Instant at) {
        if (version.equals(SoftwareVersion.UNCERTAIN)) {
            return;
        }
        lastServed
                .computeIfAbsent(service, name -> new TreeMap<>())
                .merge(version, at, (known, newer) -> newer.isAfter(known) ? newer : known);
    }

    /** Returns the versions that may have begun a stream of a service that a caller waits for. */
    public Set<SoftwareVersion> possible(String service, Instant now) {
        Map<SoftwareVersion, Instant> versions = lastServed.getOrDefault(service, Map.of());
        versions.values().removeIf(at -> now.isAfter(at.plus(RETENTION)));
        return Set.copyOf(versions.keySet());
    }

    /** Returns whether streams of a service may be of several versions. */
    public boolean isMixed(String service, Instant now) {
        return possible(service, now).size() > 1;
    }

    /** Returns the services whose streams may be of several versions. */
    public Set<String> mixedServices(Instant now) {
        return lastServed.keySet().stream()
                .filter(service -> isMixed(service, now))
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns when each version that may still matter served a service last. */
    public Map<SoftwareVersion, Instant> lastServed(String service, Instant now) {
        Set<SoftwareVersion> possible = possible(service, now);
        return lastServed.getOrDefault(service, Map.of()).entrySet().stream()
                .filter(entry -> possible.contains(entry.getKey()))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }
}
