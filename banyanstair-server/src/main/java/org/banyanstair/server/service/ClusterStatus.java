package org.banyanstair.server.service;

import java.util.List;

import org.banyanstair.membership.EntryHost;
import org.banyanstair.peer.HostStatus;

/**
 * State of all entry hosts.
 *
 * @param hosts entries of the host list
 * @param states states of the hosts that responded
 */
public record ClusterStatus(List<EntryHost> hosts, List<HostStatus> states) {
    /** Copies the lists. */
    public ClusterStatus {
        hosts = List.copyOf(hosts);
        states = List.copyOf(states);
    }
}
