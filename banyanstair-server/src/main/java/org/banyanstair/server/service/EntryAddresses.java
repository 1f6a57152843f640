package org.banyanstair.server.service;

import java.time.Instant;
import java.util.List;

import org.banyanstair.model.DataCentre;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;

/**
 * Entry hosts that callers may use.
 *
 * @param addresses addresses in the order in which the caller should try them
 * @param keepUntil time until which the caller may cache this list
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
     * @param dataCentre data centre of the host
     * @param address address for callers
     */
    public record EntryAddress(HostId host, DataCentre dataCentre, NetworkAddress address) {}
}
