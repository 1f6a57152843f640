package org.banyanstair.history;

/**
 * A position in a topic of the external log: the era of the log, and an offset within it.
 *
 * <p>Positions are ordered by era first. In a log that was restored from a copy, offsets go back and are given out
 * again, so an offset alone does not tell what came later.
 *
 * @param era number of times that the log was restored, as it counts; 0 for a log that names no era
 * @param offset offset of a record, or of the next one; -1 before the first
 */
public record LogPosition(long era, long offset) implements Comparable<LogPosition> {
    /** The position of a topic of which nothing has been read. */
    public static final LogPosition UNREAD = new LogPosition(0, -1);

    private static final int OFFSET_BITS = 32;

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if the era is negative or the offset is below -1
     */
    public LogPosition {
        if (era < 0 || offset < -1) {
            throw new IllegalArgumentException("era " + era + ", offset " + offset);
        }
    }

    /** Returns the position of the first record of an era. */
    public static LogPosition startOf(long era) {
        return new LogPosition(era, 0);
    }

    /** Returns a position before all records of an era and after those of the eras before it. */
    public static LogPosition beforeFirst(long era) {
        return new LogPosition(era, -1);
    }

    /** Returns whether something of the topic has been read up to here. */
    public boolean isRead() {
        return offset >= 0;
    }

    public boolean isBefore(LogPosition other) {
        return compareTo(other) < 0;
    }

    public boolean isAfter(LogPosition other) {
        return compareTo(other) > 0;
    }

    /** Returns a number that is unique to this position of a record and rises with it. */
    public long toNumber() {
        return (era << OFFSET_BITS) + offset;
    }

    /** Returns the position after a record here. */
    public LogPosition next() {
        return new LogPosition(era, offset + 1);
    }

    /** Returns the position of the next read: the first record if nothing has been read. */
    public LogPosition orFirst() {
        return isRead() ? this : startOf(era);
    }

    @Override
    public int compareTo(LogPosition other) {
        int order = Long.compare(era, other.era);
        return order != 0 ? order : Long.compare(offset, other.offset);
    }

    @Override
    public String toString() {
        return era + ":" + offset;
    }
}
