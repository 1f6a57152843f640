package org.banyanstair.transport.internal;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Bounded queue of encoded messages to one peer. Several threads add; only the peer's event loop removes. */
final class OutboundQueue {
    /**
     * More than the whole cluster's requests in a peak second, 3,200; a peer that is further behind counts as failed.
     */
    static final int MAXIMUM_MESSAGES = 4_096;

    /** Bounds the memory of long messages, but admits a whole configuration of 96,000 adapters in parts. */
    static final long MAXIMUM_BYTES = 32L << 20;

    private final Queue<byte[]> frames = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();
    private final AtomicLong bytes = new AtomicLong();

    /** Adds a frame. Returns false if the queue is full. */
    boolean offer(byte[] frame) {
        long newBytes = bytes.addAndGet(frame.length);
        if (size.incrementAndGet() > MAXIMUM_MESSAGES || newBytes > MAXIMUM_BYTES) {
            size.decrementAndGet();
            bytes.addAndGet(-frame.length);
            return false;
        }
        frames.add(frame);
        return true;
    }

    /** Removes and returns the oldest frame, or returns null if the queue is empty. */
    byte[] poll() {
        byte[] frame = frames.poll();
        if (frame != null) {
            size.decrementAndGet();
            bytes.addAndGet(-frame.length);
        }
        return frame;
    }

    boolean isEmpty() {
        return frames.isEmpty();
    }

    /** Removes all frames and returns how many there were. */
    int clear() {
        int removed = 0;
        while (poll() != null) {
            removed++;
        }
        return removed;
    }
}
