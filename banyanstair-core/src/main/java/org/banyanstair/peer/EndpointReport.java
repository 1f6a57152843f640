package org.banyanstair.peer;

import java.util.List;

import org.banyanstair.membership.Presence;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.PoolId;

/**
 * State of one endpoint as known to its pool owner.
 *
 * @param owner host that owns the pool
 * @param term ownership term of the owner
 * @param reachable false after repeated failures to read its status
 * @param slots number of adapter slots
 * @param loaded names of the loaded adapters on the engine
 * @param running number of permits in use
 * @param batchLimit maximum number of concurrent requests
 */
public record EndpointReport(
        EndpointId endpoint,
        PoolId pool,
        Presence presence,
        HostId owner,
        long term,
        boolean reachable,
        int slots,
        List<String> loaded,
        int running,
        int batchLimit) {}
