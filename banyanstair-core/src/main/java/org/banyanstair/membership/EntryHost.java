package org.banyanstair.membership;

import org.banyanstair.model.DataCentre;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;

/**
 * An entry host in the host list.
 *
 * @param peerAddress address for other entry hosts
 * @param callerAddress address for callers
 * @param operatorAddress address for operators
 */
public record EntryHost(
        HostId id,
        Presence presence,
        DataCentre dataCentre,
        NetworkAddress peerAddress,
        NetworkAddress callerAddress,
        NetworkAddress operatorAddress) {}
