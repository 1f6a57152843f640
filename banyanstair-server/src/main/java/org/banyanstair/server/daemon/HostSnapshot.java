package org.banyanstair.server.daemon;

import java.util.List;
import java.util.Optional;

import org.banyanstair.configuration.Configuration;
import org.banyanstair.errors.Failure;
import org.banyanstair.membership.EntryHost;

/**
 * Immutable snapshot of the reducer's state for threads outside the event loop.
 *
 * @param notReadyReason why the host is not ready, empty if it is ready
 * @param configuration configuration in force
 * @param listedHosts all entry hosts of the host list
 * @param usableHosts entry hosts that callers should use
 * @param draining whether this host is draining
 * @param inFlight number of operations that must complete before this host may stop
 * @param ownsPools whether this host owns any pool
 */
record HostSnapshot(
        Optional<Failure> notReadyReason,
        Configuration configuration,
        List<EntryHost> listedHosts,
        List<EntryHost> usableHosts,
        boolean draining,
        int inFlight,
        boolean ownsPools) {}
