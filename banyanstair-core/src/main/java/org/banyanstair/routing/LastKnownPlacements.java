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
 * Records on which engine each adapter last ran, so that requests can be served while a pool has no owner: after its
 * owner has terminated and while the log that a new owner needs is unavailable.
 *
 * <p>This is safe because without an owner no adapter is unloaded, and a new owner learns of these attempts from the
 * inventories before it unloads anything. Not thread-safe.
 */
final class LastKnownPlacements {
    /** More than the adapter slots of all engines of a pool. */
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

    /** Returns an engine for the adapter if the pool's owner has certainly terminated. */
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
