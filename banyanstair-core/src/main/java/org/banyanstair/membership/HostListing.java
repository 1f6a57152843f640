package org.banyanstair.membership;

import java.util.List;
import java.util.Optional;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.PoolId;

/**
 * One reading of the platform's host list.
 *
 * @param version number that grows with each change of the list
 * @param hosts entry hosts, live and leaving
 * @param endpoints endpoints, live and leaving
 */
public record HostListing(long version, List<EntryHost> hosts, List<Endpoint> endpoints) {
    /** A list without entries. */
    public static final HostListing EMPTY = new HostListing(0, List.of(), List.of());

    /** Copies the lists. */
    public HostListing {
        hosts = List.copyOf(hosts);
        endpoints = List.copyOf(endpoints);
    }

    /**
     * Finds an entry host.
     *
     * @return the entry, empty if the list does not show it
     */
    public Optional<EntryHost> host(HostId id) {
        return hosts.stream().filter(host -> host.id().equals(id)).findFirst();
    }

    /**
     * Finds an endpoint.
     *
     * @return the entry, empty if the list does not show it
     */
    public Optional<Endpoint> endpoint(EndpointId id) {
        return endpoints.stream().filter(endpoint -> endpoint.id().equals(id)).findFirst();
    }

    /**
     * Returns the endpoints of a pool.
     *
     * @return its endpoints, live and leaving
     */
    public List<Endpoint> endpointsOf(PoolId pool) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.pool().equals(pool))
                .toList();
    }

    /**
     * Returns the hosts that take work.
     *
     * @return ids of the live entry hosts
     */
    public List<HostId> liveHosts() {
        return hosts.stream()
                .filter(host -> host.presence() == Presence.LIVE)
                .map(EntryHost::id)
                .toList();
    }
}
