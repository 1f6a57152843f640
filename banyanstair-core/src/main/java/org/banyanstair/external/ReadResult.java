package org.banyanstair.external;

import java.util.List;

import org.banyanstair.errors.Failure;

/** What a read of the log gave. */
public sealed interface ReadResult {
    /**
     * Records that follow each other without a gap.
     *
     * @param next offset to read from next
     * @param end offset that the next append to the stream will get
     * @param records the records, possibly none
     */
    record Records(long next, long end, List<LogRecord> records) implements ReadResult {
        /** Copies the list. */
        public Records {
            records = List.copyOf(records);
        }
    }

    /**
     * The offset asked for has expired.
     *
     * @param earliest lowest offset that can still be read
     */
    record Expired(long earliest) implements ReadResult {}

    /** The log could not be read. */
    record Unavailable(Failure failure) implements ReadResult {}
}
