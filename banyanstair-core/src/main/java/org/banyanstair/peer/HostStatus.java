package org.banyanstair.peer;

import java.time.Instant;
import java.util.List;

import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.PresetId;

/**
 * State of one entry host as operators see it.
 *
 * @param identity the host
 * @param ready whether it serves
 * @param draining whether it is leaving
 * @param configurationVersion version in force on it
 * @param preset preset in force on it
 * @param ownedPools pools that it decides for
 * @param running caller requests in flight on it
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
