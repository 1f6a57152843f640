package org.banyanstair.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Counts of the adapter loads whose end a host has observed since its start.
 *
 * @param onTime loads after which a request found its adapter at the expected time
 * @param late loads after which a request did not
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoadCounts(long onTime, long late) {
    /** No loads. */
    public static final LoadCounts NONE = new LoadCounts(0, 0);

    /** Returns the loads that were counted since earlier counts of the same host. */
    public LoadCounts since(LoadCounts earlier) {
        return new LoadCounts(Math.max(0, onTime - earlier.onTime), Math.max(0, late - earlier.late));
    }
}
