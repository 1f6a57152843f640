package org.banyanstair.membership;

import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;

/**
 * Where an entry host is reached.
 *
 * @param incarnation number that grows with each start of its daemon
 * @param callers address for callers
 * @param peers address for other hosts
 * @param dataCentre where it stands
 * @param cores processor time that it has, in cores; less if its network cannot carry what these could do
 */
public record HostAnnouncement(
        HostId host, long incarnation, NetworkAddress callers, NetworkAddress peers, String dataCentre, double cores) {}
