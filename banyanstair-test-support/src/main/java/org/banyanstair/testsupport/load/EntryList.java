package org.banyanstair.testsupport.load;

import java.time.Instant;
import java.util.List;

import org.banyanstair.model.NetworkAddress;

/**
 * Answer of {@code GET /v1/entry}.
 *
 * @param addresses caller addresses in the order in which to try them
 * @param keepUntil how long the answer may be kept
 */
public record EntryList(List<NetworkAddress> addresses, Instant keepUntil) {
    /** Copies the list. */
    public EntryList {
        addresses = List.copyOf(addresses);
    }
}
