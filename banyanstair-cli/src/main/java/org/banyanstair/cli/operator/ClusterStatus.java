package org.banyanstair.cli.operator;

import java.util.List;
import java.util.Optional;

import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.HostStatus;

/**
 * State of all entry hosts, as the operator API returns it.
 *
 * @param hosts entries of the host list
 * @param states states of the hosts that answered
 */
public record ClusterStatus(List<EntryHost> hosts, List<HostStatus> states) {
    /** Copies the lists. */
    public ClusterStatus {
        hosts = List.copyOf(hosts);
        states = List.copyOf(states);
    }

    /** Returns the state of a host, empty if it did not answer. */
    public Optional<HostStatus> state(HostId host) {
        return states.stream()
                .filter(state -> state.identity().host().equals(host))
                .findFirst();
    }

    /** Lists the live hosts that report a lower version than the given one or did not answer. */
    public List<HostId> hostsBelowVersion(long version) {
        return hosts.stream()
                .filter(host -> host.presence() == Presence.LIVE)
                .map(EntryHost::id)
                .filter(host -> state(host)
                        .filter(state -> state.configurationVersion() >= version)
                        .isEmpty())
                .toList();
    }
}
