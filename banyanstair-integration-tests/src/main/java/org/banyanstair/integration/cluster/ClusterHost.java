package org.banyanstair.integration.cluster;

import java.nio.file.Path;

import org.banyanstair.membership.EntryHost;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.network.FaultProxy;
import org.banyanstair.testsupport.process.ManagedProcess;

/**
 * An entry host of a cluster.
 *
 * @param entry its entry in the host list; the peer address is that of the proxy
 * @param logProxy proxy between this host and the log service
 * @param peerProxy proxy through which other hosts reach this one
 */
public record ClusterHost(
        EntryHost entry, ManagedProcess process, Path settings, FaultProxy logProxy, FaultProxy peerProxy) {
    /** Returns the id of the host. */
    public HostId id() {
        return entry.id();
    }

    /** Returns the address for callers. */
    public NetworkAddress caller() {
        return entry.callerAddress();
    }

    /** Returns the address for operators. */
    public NetworkAddress operator() {
        return entry.operatorAddress();
    }
}
