package org.banyanstair.forwarder.internal;

import java.util.OptionalLong;

/**
 * Limits of what a host holds for its connections.
 *
 * @param requestBytes limit for the bodies of requests that are being read, wait or are in flight
 * @param responseBytes limit for responses that are being buffered or whose callers have not read them
 * @param outputBytes limit for bytes that are queued at the sockets of callers, including the buffers of the sockets
 */
public record MemoryLimits(long requestBytes, long responseBytes, long outputBytes) {
    /** Classes, code and stacks of a daemon, which takes 66 to 78 MB together with the used part of its heap. */
    private static final long BASE_BYTES = 48L << 20;

    /** Memory beyond the heap if the process has no known limit: that of the smallest hosts, 290 MB with a 194 MB heap. */
    private static final long DEFAULT_BYTES_BEYOND_HEAP = 96L << 20;

    /** Smallest memory for sockets and direct buffers, so that a host with wrong settings still serves. */
    private static final long MINIMUM_BYTES_BEYOND_HEAP = 16L << 20;

    /** Buffers double as they grow, so that a sixth of the heap in bytes held may use a third of it. */
    private static final int HEAP_SHARE = 6;

    /** One response of the largest size has to fit. */
    private static final long MINIMUM_RESPONSE_BYTES = 16L << 20;

    private static final long MAXIMUM_RESPONSE_BYTES = 32L << 20;

    /** Rejects limits that hold nothing. */
    public MemoryLimits {
        if (requestBytes <= 0 || responseBytes <= 0 || outputBytes <= 0) {
            throw new IllegalArgumentException("memory limits must be positive");
        }
    }

    /**
     * Derives the limits from those of the process.
     *
     * @param heapBytes maximum size of the heap
     * @param processBytes limit of the whole process, which also counts direct buffers and the buffers of sockets;
     *     empty if there is none
     */
    public static MemoryLimits of(long heapBytes, OptionalLong processBytes) {
        long beyondHeap = Math.max(
                MINIMUM_BYTES_BEYOND_HEAP,
                processBytes.orElse(heapBytes + DEFAULT_BYTES_BEYOND_HEAP) - heapBytes - BASE_BYTES);
        // A body that is being sent to an endpoint is copied into direct buffers.
        long requests = Math.min(heapBytes / HEAP_SHARE, beyondHeap / 2);
        long responses = Math.max(MINIMUM_RESPONSE_BYTES, Math.min(MAXIMUM_RESPONSE_BYTES, heapBytes / HEAP_SHARE));
        return new MemoryLimits(requests, responses, beyondHeap / 2);
    }
}
