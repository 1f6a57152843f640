package org.banyanstair.crashes;

import java.util.List;

/**
 * A request and the crashes of endpoints that ran it.
 *
 * @param fingerprint digest of the request, the same when it is sent again
 * @param exact whether only copies of the request have this fingerprint, and no similar ones
 */
public record CrashedRequest(long fingerprint, boolean exact, List<EndpointCrash> crashes) {
    /** Copies the list. */
    public CrashedRequest {
        crashes = List.copyOf(crashes);
    }
}
