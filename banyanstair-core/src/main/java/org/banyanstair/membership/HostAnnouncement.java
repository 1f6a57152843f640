package org.banyanstair.membership;

import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;

/**
 * Where an entry host is reached.
 *
 * @param host the host
 * @param incarnation number that grows with each start of its daemon
 * @param callers address for callers
 * @param peers address for other hosts
 * @param dataCentre where it stands
 */
public record HostAnnouncement(
        HostId host, long incarnation, NetworkAddress callers, NetworkAddress peers, String dataCentre) {}
