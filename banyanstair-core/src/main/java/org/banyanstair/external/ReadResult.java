package org.banyanstair.external;

import java.util.List;

import org.banyanstair.errors.Failure;

/** Result of a read from the log. */
public sealed interface ReadResult {
    /**
     * Consecutive records of the stream.
     *
     * @param next offset at which to continue reading
     * @param end offset of the next record that will be appended
     * @param records the records, possibly none
     */
    record Records(long next, long end, List<LogRecord> records) implements ReadResult {
        /** Copies the list. */
        public Records {
            records = List.copyOf(records);
        }
    }

    /**
     * The requested offset has expired.
     *
     * @param earliest lowest offset that can still be read
     */
    record Expired(long earliest) implements ReadResult {}

    /** The log could not be read. */
    record Unavailable(Failure failure) implements ReadResult {}
}
