package org.banyanstair.forwarder.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the memory of all responses of a host that are being buffered.
 *
 * <p>When the limit is exceeded, the largest response is evicted, so that the many small ones can complete. Used on
 * the event loop thread only.
 */
public final class ResponseMemoryBudget {
    /**
     * Limit for all responses together. With buffers that double as they grow, a third of the heap of a 194 MB
     * daemon.
     */
    public static final int DEFAULT_LIMIT_BYTES = 32 << 20;

    private final int limitBytes;
    private final Map<BufferOwner, Integer> usages = new HashMap<>();
    private long totalBytes;

    /** Owner of a response buffer; compared by identity. */
    @FunctionalInterface
    interface BufferOwner {
        /** Drops the buffer and ends the response. */
        void evict();
    }

    /**
     * Creates a budget.
     *
     * @param limitBytes limit for all responses together
     */
    public ResponseMemoryBudget(int limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns the bytes that are buffered now. */
    public long usedBytes() {
        return totalBytes;
    }

    /** Sets the bytes that an owner buffers. May evict any owner, including this one. */
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
