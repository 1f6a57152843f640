package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.NetworkAddress;

/**
 * What an endpoint says of itself in the platform's registry.
 *
 * @param id the endpoint
 * @param service service that it belongs to
 * @param address where it is reached
 * @param dataCentre where it stands
 * @param slots requests that it runs at once
 * @param draining whether it is leaving
 * @param terminatesAt when it will be gone whatever it still runs, on the local steady clock; empty if not announced
 * @param started milliseconds since 1970 at which the process started; another value means that it forgot everything
 * @param baseModels base models that it held when it wrote this
 * @param adapters adapters that it held when it wrote this
 * @param commandSequence number of commands that it had accepted
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
        long commandSequence) {
    /** Copies the adapters. */
    public EndpointListing {
        baseModels = Set.copyOf(baseModels);
        adapters = List.copyOf(adapters);
    }
}
