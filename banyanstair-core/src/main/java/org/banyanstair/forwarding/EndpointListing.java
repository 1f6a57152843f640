package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.versions.SoftwareVersion;

/**
 * An endpoint's entry in the platform's registry.
 *
 * @param address address for requests and commands
 * @param slots maximum number of concurrent requests
 * @param draining whether the endpoint is shutting down
 * @param terminatesAt when the process ends even if requests are running, on the local steady clock; empty if not
 *     announced
 * @param started start time of the process in milliseconds since 1970, 0 if unknown; a different value means that its
 *     state was lost
 * @param baseModels base models that it held when the entry was written
 * @param adapters adapters that it held when the entry was written
 * @param commandSequence number of commands that it had accepted when the entry was written
 * @param softwareVersion version of its software
 */
public record EndpointListing(
        EndpointId id,
        String service,
        NetworkAddress address,
        String dataCentre,
        int slots,
        boolean draining,
        Optional<Instant> terminatesAt,
        long started,
        Set<String> baseModels,
        List<LoadedAdapter> adapters,
        long commandSequence,
        SoftwareVersion softwareVersion) {
    /** Copies the collections. */
    public EndpointListing {
        baseModels = Set.copyOf(baseModels);
        adapters = List.copyOf(adapters);
    }

    /** Returns the start of the process, by which a connection to it is told from one to another process. */
    OptionalLong knownStart() {
        return started == 0 ? OptionalLong.empty() : OptionalLong.of(started);
    }

    /**
     * Returns what is known after the entry was read from a restored log, where it may be older than this one: that of
     * the later process, and a process that leaves goes on leaving.
     */
    EndpointListing mergeRestored(EndpointListing restored) {
        if (restored.started != started) {
            return restored.started > started ? restored : this;
        }
        EndpointListing newer = restored.commandSequence >= commandSequence ? restored : this;
        return new EndpointListing(
                id,
                newer.service,
                newer.address,
                newer.dataCentre,
                newer.slots,
                draining || restored.draining,
                restored.terminatesAt.or(() -> terminatesAt),
                started,
                newer.baseModels,
                newer.adapters,
                newer.commandSequence,
                newer.softwareVersion);
    }
}
