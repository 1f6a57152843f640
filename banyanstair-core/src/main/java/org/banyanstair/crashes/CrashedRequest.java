package org.banyanstair.crashes;

import java.util.List;

/**
 * A request and the crashes of endpoints that ran it.
 *
 * @param fingerprint digest of the request, the same when it is sent again
 */
public record CrashedRequest(long fingerprint, List<EndpointCrash> crashes) {
    /** Copies the list. */
    public CrashedRequest {
        crashes = List.copyOf(crashes);
    }
}
