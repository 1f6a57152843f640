package org.banyanstair.server.service;

import java.time.Instant;
import java.util.List;

import org.banyanstair.model.DataCentre;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;

/**
 * The entry hosts that callers may use.
 *
 * @param addresses addresses in the order in which the caller should try them
 * @param keepUntil instant until which the caller may keep the answer
 */
public record EntryAddresses(List<EntryAddress> addresses, Instant keepUntil) {
    /** Copies the list. */
    public EntryAddresses {
        addresses = List.copyOf(addresses);
    }

    /**
     * Address of one entry host.
     *
     * @param host the host
     * @param dataCentre where it is
     * @param address where callers connect
     */
    public record EntryAddress(HostId host, DataCentre dataCentre, NetworkAddress address) {}
}
