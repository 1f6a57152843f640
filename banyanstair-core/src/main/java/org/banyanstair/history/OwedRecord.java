package org.banyanstair.history;

import java.time.Instant;

/**
 * A record that a host keeps in the log: written once, and once more each time that a restored log lacks it.
 *
 * <p>Not thread-safe.
 */
public final class OwedRecord {
    private Instant dueAt = Instant.MIN;

    /** Records that the log holds the record. */
    public void found() {
        dueAt = Instant.MAX;
    }

    /**
     * Records that the log was restored and may lack the record.
     *
     * @param rewriteAt when to write it again, unless it is found before
     */
    public void mayBeLost(Instant rewriteAt) {
        dueAt = rewriteAt;
    }

    /** Returns whether the record has to be written now; once for each time that it is owed. */
    public boolean takeDue(Instant now) {
        boolean due = !now.isBefore(dueAt);
        if (due) {
            dueAt = Instant.MAX;
        }
        return due;
    }
}
