package org.banyanstair.external;

import java.util.concurrent.CompletableFuture;

import org.banyanstair.membership.HostListing;

/** Reads the external host list. Implementations are thread-safe. */
public interface HostListSource {
    /**
     * Reads the whole list.
     *
     * @return the list; completes exceptionally with {@link org.banyanstair.errors.FailureException} if it cannot be
     *     read
     */
    CompletableFuture<HostListing> read();
}
