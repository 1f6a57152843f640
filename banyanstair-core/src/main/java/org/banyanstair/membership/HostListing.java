package org.banyanstair.membership;

import java.util.List;
import java.util.Optional;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.PoolId;

/**
 * Snapshot of the platform's host list.
 *
 * @param version number that increases with each change of the list
 * @param hosts live and leaving entry hosts
 * @param endpoints live and leaving endpoints
 */
public record HostListing(long version, List<EntryHost> hosts, List<Endpoint> endpoints) {
    /** Snapshot without entries. */
    public static final HostListing EMPTY = new HostListing(0, List.of(), List.of());

    /** Copies the lists. */
    public HostListing {
        hosts = List.copyOf(hosts);
        endpoints = List.copyOf(endpoints);
    }

    /** Returns the entry of a host, or empty if it is not listed. */
    public Optional<EntryHost> host(HostId id) {
        return hosts.stream().filter(host -> host.id().equals(id)).findFirst();
    }

    /** Returns the entry of an endpoint, or empty if it is not listed. */
    public Optional<Endpoint> endpoint(EndpointId id) {
        return endpoints.stream().filter(endpoint -> endpoint.id().equals(id)).findFirst();
    }

    /** Returns the live and leaving endpoints of a pool. */
    public List<Endpoint> endpointsOf(PoolId pool) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.pool().equals(pool))
                .toList();
    }

    /** Returns the ids of the live entry hosts. */
    public List<HostId> liveHosts() {
        return hosts.stream()
                .filter(host -> host.presence() == Presence.LIVE)
                .map(EntryHost::id)
                .toList();
    }
}
