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
    public static final int DEFAULT_LIMIT_BYTES = 32 << 20;

    private final int limitBytes;
    private final Map<BufferOwner, Integer> usages = new HashMap<>();
    private long totalBytes;

    /** Keeps bytes of an answer; equal only to itself. */
    @FunctionalInterface
    interface BufferOwner {
        /** Drops the bytes and ends the answer. */
        void evict();
    }

    /**
     * Creates the memory.
     *
     * @param limitBytes bytes of all answers
     */
    public ResponseMemoryBudget(int limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Returns the bytes that answers take now.
     *
     * @return bytes
     */
    public long usedBytes() {
        return totalBytes;
    }

    /** Notes how many bytes a owner keeps; this may evict any owner, including this one. */
    void setUsage(BufferOwner owner, int bytes) {
        Integer before = bytes == 0 ? usages.remove(owner) : usages.put(owner, bytes);
        totalBytes += bytes - (before == null ? 0 : before);
        while (totalBytes > limitBytes) {
            BufferOwner largest = usages.entrySet().stream()
                    .max(Map.Entry.comparingByValue())
                    .orElseThrow()
                    .getKey();
            setUsage(largest, 0);
            largest.evict();
        }
    }
}
