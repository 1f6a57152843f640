package org.banyanstair.peer;

import java.util.List;

import org.banyanstair.membership.Presence;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.PoolId;

/**
 * State of one endpoint as its pool owner sees it.
 *
 * @param pool its pool
 * @param presence live or leaving
 * @param owner host that decides for the pool
 * @param term term of the owner
 * @param reachable whether its last status could be read
 * @param slots adapter slots
 * @param loaded engine names of the loaded adapters
 * @param running permits in use
 * @param batchLimit most requests that run at a time
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
