package org.banyanstair.history;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records of ended eras that a topic of the restored log does not hold, for hosts that have not read them.
 *
 * <p>Not thread-safe.
 *
 * @param <T> type of a record
 */
public final class LostRecords<T> {
    private final Map<String, T> records = new TreeMap<>();
    private LogPosition end = LogPosition.UNREAD;

    /**
     * Keeps records that the log has lost.
     *
     * @param lost records by key; replaces earlier ones of the same key
     * @param readTo position of an ended era up to which the lost records are known
     */
    public void keep(Map<String, T> lost, LogPosition readTo) {
        records.putAll(lost);
        end = readTo.isAfter(end) ? readTo : end;
    }

    /** Drops the record of a key that the log holds again, or that a newer one has replaced. */
    public void written(String key) {
        records.remove(key);
    }

    public boolean contains(String key) {
        return records.containsKey(key);
    }

    /** Returns the records that the log still lacks. */
    public Collection<T> all() {
        return List.copyOf(records.values());
    }

    /** Returns the position of an ended era up to which lost records are known, also those that were written since. */
    public LogPosition end() {
        return end;
    }
}
