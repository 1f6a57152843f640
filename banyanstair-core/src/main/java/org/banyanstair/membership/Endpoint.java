package org.banyanstair.membership;

import org.banyanstair.model.DataCentre;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PoolId;

/**
 * An endpoint in the host list.
 *
 * @param slots number of adapter slots of an engine, 0 for a plain service
 * @param batchLimit maximum number of concurrent requests
 * @param checksFencing whether it rejects commands with an old fencing token
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
