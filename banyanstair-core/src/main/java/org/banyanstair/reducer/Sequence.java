package org.banyanstair.reducer;

/** Counts up from 1. Not thread-safe. */
public final class Sequence {
    private long last;

    /**
     * Returns the next number.
     *
     * @return a number that was not returned before
     */
    public long next() {
        last++;
        return last;
    }
}
