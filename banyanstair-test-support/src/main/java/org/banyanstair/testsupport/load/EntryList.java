package org.banyanstair.testsupport.load;

import java.time.Instant;
import java.util.List;

import org.banyanstair.model.NetworkAddress;

/**
 * Response of {@code GET /v1/entry}.
 *
 * @param addresses caller addresses in the order in which to try them
 * @param keepUntil when a cached list expires
 */
public record EntryList(List<NetworkAddress> addresses, Instant keepUntil) {
    /** Makes an unmodifiable copy of the list. */
    public EntryList {
        addresses = List.copyOf(addresses);
    }
}
