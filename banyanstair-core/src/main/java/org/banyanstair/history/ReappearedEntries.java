package org.banyanstair.history;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Entries that a restored log holds although they were known to have been removed. Each is held back until its writer
 * must have written it again or its lifetime has passed.
 *
 * <p>Not thread-safe.
 *
 * @param <T> type of an entry
 */
public final class ReappearedEntries<T> {
    private final Map<String, HeldEntry<T>> entries = new HashMap<>();

    private record HeldEntry<T>(T entry, Instant until) {}

    /** Holds an entry back until an instant; replaces an earlier one of the key. */
    public void hold(String key, T entry, Instant until) {
        entries.put(key, new HeldEntry<>(entry, until));
    }

    /** Drops the entry of a key that was written or removed since. */
    public void drop(String key) {
        entries.remove(key);
    }

    public boolean isHeld(String key) {
        return entries.containsKey(key);
    }

    /** Removes and returns the entries whose lifetime has passed, so that the log would not hold them if they lapsed. */
    public List<T> takeDue(Instant now) {
        List<T> due = new ArrayList<>();
        for (Iterator<HeldEntry<T>> iterator = entries.values().iterator(); iterator.hasNext(); ) {
            HeldEntry<T> held = iterator.next();
            if (!now.isBefore(held.until())) {
                iterator.remove();
                due.add(held.entry());
            }
        }
        return due;
    }
}
