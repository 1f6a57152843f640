package org.banyanstair.transport.internal;

import java.util.concurrent.atomic.LongAdder;

import org.banyanstair.transport.TransportCounters;

/** Thread-safe counters behind {@link TransportCounters}. */
public final class CounterSet {
    private final LongAdder framesIn = new LongAdder();
    private final LongAdder framesOut = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();
    private final LongAdder malformedFrames = new LongAdder();
    private final LongAdder rejectedHandshakes = new LongAdder();
    private final LongAdder connectionsOpened = new LongAdder();
    private final LongAdder connectionsClosed = new LongAdder();
    private final LongAdder droppedMessages = new LongAdder();

    /** Returns the current totals, which are not an atomic snapshot while frames are in flight. */
    public TransportCounters snapshot() {
        return new TransportCounters(
                framesIn.sum(),
                framesOut.sum(),
                bytesIn.sum(),
                bytesOut.sum(),
                malformedFrames.sum(),
                rejectedHandshakes.sum(),
                connectionsOpened.sum(),
                connectionsClosed.sum(),
                droppedMessages.sum());
    }

    void countReceivedFrame(int bytes) {
        framesIn.increment();
        bytesIn.add(bytes);
    }

    void countWrittenFrames(int frames, int bytes) {
        framesOut.add(frames);
        bytesOut.add(bytes);
    }

    void countMalformedFrame() {
        malformedFrames.increment();
    }

    void countRejectedHandshake() {
        rejectedHandshakes.increment();
    }

    void countOpenedConnection() {
        connectionsOpened.increment();
    }

    void countClosedConnection() {
        connectionsClosed.increment();
    }

    void countDroppedMessages(long messages) {
        droppedMessages.add(messages);
    }
}
