package org.banyanstair.peer;

import java.util.List;

import org.banyanstair.history.LogPosition;

/**
 * Records of ended eras that the restored log lacks, as far as the sender knows.
 *
 * @param era era of all offsets
 * @param end offset up to which the sender knows what the log has lost
 * @param records records that were not written again yet
 */
public record LostReport(long era, long end, List<RelayedRecord> records) {
    /** Copies the records; null, from a host of another release, stands for none. */
    public LostReport {
        records = records == null ? List.of() : List.copyOf(records);
    }

    /** Returns the position up to which the sender knows what the log has lost. */
    public LogPosition endPosition() {
        return new LogPosition(era, end);
    }
}
