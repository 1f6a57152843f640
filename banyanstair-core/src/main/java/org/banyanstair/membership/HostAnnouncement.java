package org.banyanstair.membership;

import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;

/**
 * Addresses and capacity that an entry host announces.
 *
 * @param incarnation number that increases with each start of the host's daemon
 * @param callers address for callers
 * @param peers address for other entry hosts
 * @param cores processor capacity in cores; lower if the network of the host carries less than these cores could handle
 */
public record HostAnnouncement(
        HostId host, long incarnation, NetworkAddress callers, NetworkAddress peers, String dataCentre, double cores) {
    /** Explicit, like {@link #hashCode}, because the methods of a record are slow until C2 has compiled them. */
    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof HostAnnouncement same
                        && incarnation == same.incarnation
                        && host.equals(same.host)
                        && callers.equals(same.callers)
                        && peers.equals(same.peers)
                        && dataCentre.equals(same.dataCentre)
                        && Double.compare(cores, same.cores) == 0;
    }

    @Override
    public int hashCode() {
        return host.hashCode() * 31 + Long.hashCode(incarnation);
    }
}
