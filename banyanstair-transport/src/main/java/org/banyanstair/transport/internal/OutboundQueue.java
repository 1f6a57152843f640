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

    /**
     * Bit of the size that is set from an overflow until the queue is cleared. Frames are not written meanwhile, since
     * the connection is about to be closed.
     */
    private static final int OVERFLOWED = 1 << 30;

    private final Queue<byte[]> frames = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();
    private final AtomicLong bytes = new AtomicLong();

    /** Adds a frame. Returns false if the queue is full, or was full and has not been cleared. */
    boolean offer(byte[] frame) {
        boolean fits = bytes.addAndGet(frame.length) <= MAXIMUM_BYTES;
        int previous = size.getAndUpdate(count -> fits && count < MAXIMUM_MESSAGES ? count + 1 : count | OVERFLOWED);
        if (!fits || previous >= MAXIMUM_MESSAGES) {
            bytes.addAndGet(-frame.length);
            return false;
        }
        frames.add(frame);
        return true;
    }

    /** Removes and returns the oldest frame, or returns null if there is none to write. */
    byte[] poll() {
        return hasOverflowed() ? null : remove();
    }

    private byte[] remove() {
        byte[] frame = frames.poll();
        if (frame != null) {
            size.decrementAndGet();
            bytes.addAndGet(-frame.length);
        }
        return frame;
    }

    /** Returns whether there is no frame to write. */
    boolean isEmpty() {
        return hasOverflowed() || frames.isEmpty();
    }

    private boolean hasOverflowed() {
        return (size.get() & OVERFLOWED) != 0;
    }

    /** Removes all frames and returns how many there were. */
    int clear() {
        int removed = 0;
        while (remove() != null) {
            removed++;
        }
        size.updateAndGet(count -> count & ~OVERFLOWED);
        return removed;
    }
}
