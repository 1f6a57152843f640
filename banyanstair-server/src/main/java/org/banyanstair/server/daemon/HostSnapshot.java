package org.banyanstair.server.daemon;

import java.util.List;
import java.util.Optional;

import org.banyanstair.configuration.Configuration;
import org.banyanstair.errors.Failure;
import org.banyanstair.membership.EntryHost;

/**
 * What the threads outside the event loop may know of the reducer's state.
 *
 * @param notReadyReason why the host does not serve yet, empty once it does
 * @param configuration configuration in force
 * @param listedHosts all entry hosts of the host list
 * @param usableHosts entry hosts that callers should use
 * @param draining whether this host leaves
 * @param inFlight what has to end before this host may stop
 * @param ownsPools whether this host decides for any pool
 */
record HostSnapshot(
        Optional<Failure> notReadyReason,
        Configuration configuration,
        List<EntryHost> listedHosts,
        List<EntryHost> usableHosts,
        boolean draining,
        int inFlight,
        boolean ownsPools) {}
