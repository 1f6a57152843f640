package org.banyanstair.membership;

import org.banyanstair.model.DataCentre;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PoolId;

/**
 * An endpoint as the host list shows it.
 *
 * @param kind engine or plain service
 * @param presence live or leaving
 * @param dataCentre where it is
 * @param pool pool that it belongs to
 * @param address where it listens
 * @param slots adapter slots of an engine, 0 for a plain service
 * @param batchLimit most requests that it runs at a time
 * @param checksFencing whether it refuses orders with an old fencing number
 */
public record Endpoint(
        EndpointId id,
        EndpointKind kind,
        Presence presence,
        DataCentre dataCentre,
        PoolId pool,
        NetworkAddress address,
        int slots,
        int batchLimit,
        boolean checksFencing) {}
