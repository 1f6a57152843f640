package org.banyanstair.reducer;

/** Generates ids in ascending order from 1, unique within one incarnation of the daemon. Not thread-safe. */
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
