package org.banyanstair.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EndpointKind;
import org.banyanstair.membership.Membership;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.PoolId;
import org.banyanstair.ownership.Ownership;
import org.banyanstair.ownership.OwnershipState;

/**
 * Remembers where adapters last ran, so that requests can still be served while nobody can decide for a pool: its owner
 * has ended and the log that a new owner needs is down.
 *
 * <p>Without an owner nobody unloads adapters. A later owner learns of such attempts from its inventory before it
 * unloads anything. Not safe for use by several threads.
 */
final class LastKnownPlacements {
    /** More adapters than the engines of one pool have slots. */
    private static final int MAXIMUM_ADAPTERS = 4_096;

    private final Membership membership;
    private final OwnershipState owners;
    private final Map<AdapterVersion, EndpointId> placements = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<AdapterVersion, EndpointId> eldest) {
            return size() > MAXIMUM_ADAPTERS;
        }
    };

    LastKnownPlacements(Membership membership, OwnershipState owners) {
        this.membership = membership;
        this.owners = owners;
    }

    void record(AdapterVersion adapter, EndpointId endpoint) {
        placements.put(adapter, endpoint);
    }

    void remove(AdapterVersion adapter, EndpointId endpoint) {
        placements.remove(adapter, endpoint);
    }

    /** Finds an engine for the adapter if the pool's owner has certainly ended. */
    Optional<Endpoint> findWithoutOwner(PoolId pool, AdapterVersion adapter) {
        boolean ownerTerminated = owners.owner(pool)
                .map(Ownership::owner)
                .filter(membership::isTerminated)
                .isPresent();
        if (!ownerTerminated) {
            return Optional.empty();
        }
        return Optional.ofNullable(placements.get(adapter))
                .flatMap(endpoint -> membership.listing().endpoint(endpoint))
                .filter(endpoint -> endpoint.kind() == EndpointKind.ENGINE && endpoint.presence() == Presence.LIVE)
                .filter(endpoint -> owners.pendingUnloads(pool).stream()
                        .noneMatch(unload -> unload.endpoint().equals(endpoint.id())
                                && unload.adapter().equals(adapter)));
    }
}
