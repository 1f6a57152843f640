package org.banyanstair.peer;

import java.time.Instant;
import java.util.List;

import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.PresetId;

/**
 * Status of an entry host, as shown to operators.
 *
 * @param ready whether it serves requests
 * @param configurationVersion configuration version in force
 * @param preset preset in force
 * @param running number of caller requests in flight
 * @param logReachable whether its last read of the log succeeded
 * @param startedAt when the daemon started
 */
public record HostStatus(
        HostIdentity identity,
        boolean ready,
        boolean draining,
        long configurationVersion,
        PresetId preset,
        List<PoolId> ownedPools,
        int running,
        boolean logReachable,
        Instant startedAt) {}
