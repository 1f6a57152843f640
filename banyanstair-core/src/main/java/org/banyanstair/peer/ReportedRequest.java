package org.banyanstair.peer;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A request and the crashes of endpoints that ran it.
 *
 * @param fingerprint digest of the request, the same when it is sent again
 * @param exact whether only copies of the request have this fingerprint, and no similar ones
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ReportedRequest(long fingerprint, boolean exact, List<ReportedCrash> crashes) {
    /** Copies the list. */
    public ReportedRequest {
        crashes = List.copyOf(crashes);
    }
}
