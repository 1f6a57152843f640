package org.banyanstair.forwarder.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * The memory that answers take until they are whole, for all answers of a host.
 *
 * <p>When it is exceeded, the largest answers are evicted, so that the many small ones go on. Used on the thread of the
 * connections only.
 */
public final class ResponseMemoryBudget {
    /** Bytes of all answers; with buffers that double as they grow, a third of the heap of a daemon of 194 MB. */
    public static final int DEFAULT_BYTES = 32 << 20;

    private final int limit;
    private final Map<Holder, Integer> sizes = new HashMap<>();
    private long total;

    /** Keeps bytes of an answer; equal only to itself. */
    @FunctionalInterface
    interface Holder {
        /** Drops the bytes and ends the answer. */
        void evict();
    }

    /**
     * Creates the memory.
     *
     * @param limit bytes of all answers
     */
    public ResponseMemoryBudget(int limit) {
        this.limit = limit;
    }

    /**
     * Returns the bytes that answers take now.
     *
     * @return bytes
     */
    public long used() {
        return total;
    }

    /** Notes how many bytes a holder keeps; this may evict any holder, including this one. */
    void resize(Holder holder, int bytes) {
        Integer before = bytes == 0 ? sizes.remove(holder) : sizes.put(holder, bytes);
        total += bytes - (before == null ? 0 : before);
        while (total > limit) {
            Holder largest = sizes.entrySet().stream()
                    .max(Map.Entry.comparingByValue())
                    .orElseThrow()
                    .getKey();
            resize(largest, 0);
            largest.evict();
        }
    }
}
