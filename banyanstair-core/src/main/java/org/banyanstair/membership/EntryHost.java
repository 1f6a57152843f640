package org.banyanstair.membership;

import org.banyanstair.model.DataCentre;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;

/**
 * An entry host as the host list shows it.
 *
 * @param presence live or leaving
 * @param dataCentre where it is
 * @param peerAddress where other entry hosts connect
 * @param callerAddress where callers connect
 * @param operatorAddress where operators connect
 */
public record EntryHost(
        HostId id,
        Presence presence,
        DataCentre dataCentre,
        NetworkAddress peerAddress,
        NetworkAddress callerAddress,
        NetworkAddress operatorAddress) {}
