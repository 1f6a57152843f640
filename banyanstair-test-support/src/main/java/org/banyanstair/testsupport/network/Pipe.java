package org.banyanstair.testsupport.network;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;

/**
 * Forwards one direction of a proxied connection. Not thread-safe; used only on the proxy's event loop.
 *
 * <p>While the pipe is blocked it does not read, as in a network partition: the sender's buffers fill up, and no data
 * is lost.
 */
final class Pipe {
    /** Stops reading from the source while this many bytes wait because of latency or a slow sink. */
    private static final int MAX_PENDING_BYTES = 1 << 20;

    private final Channel source;
    private final Channel sink;
    private final Deque<Chunk> pending = new ArrayDeque<>();
    private final LongSupplier nanoTime;
    private long latencyNanos;
    private long lastReleaseNanos;
    private int pendingBytes;
    private boolean blocked;
    private boolean drainScheduled;

    /**
     * Creates a pipe.
     *
     * @param nanoTime clock of the latency, as {@link System#nanoTime}
     */
    Pipe(Channel source, Channel sink, LongSupplier nanoTime) {
        this.source = source;
        this.sink = sink;
        this.nanoTime = nanoTime;
        lastReleaseNanos = nanoTime.getAsLong();
    }

    void setLatencyNanos(long value) {
        latencyNanos = value;
    }

    void setBlocked(boolean value) {
        blocked = value;
        drain();
    }

    void enqueueData(ByteBuf data) {
        pendingBytes += data.readableBytes();
        enqueue(new Chunk(data, false, releaseTime()));
    }

    /** Closes the sink after all data that was received before the source closed has been forwarded. */
    void sourceClosed() {
        enqueue(new Chunk(Unpooled.EMPTY_BUFFER, true, releaseTime()));
    }

    /** Returns when to forward a chunk received now; not before earlier chunks, even if the latency was lowered. */
    private long releaseTime() {
        long earliest = nanoTime.getAsLong() + latencyNanos;
        lastReleaseNanos = earliest - lastReleaseNanos > 0 ? earliest : lastReleaseNanos;
        return lastReleaseNanos;
    }

    private void enqueue(Chunk chunk) {
        pending.addLast(chunk);
        drain();
    }

    /** Forwards the chunks that are due and enables or disables reading from the source. */
    void drain() {
        while (!blocked && sink.isWritable() && isDue()) {
            forward(pending.removeFirst());
        }
        sink.flush();
        if (!blocked && !pending.isEmpty() && sink.isWritable()) {
            scheduleDrain();
        }
        source.config().setAutoRead(!blocked && pendingBytes < MAX_PENDING_BYTES);
    }

    private boolean isDue() {
        return !pending.isEmpty() && pending.peekFirst().releaseNanos() - nanoTime.getAsLong() <= 0;
    }

    private void forward(Chunk chunk) {
        pendingBytes -= chunk.data().readableBytes();
        if (chunk.last()) {
            sink.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else {
            sink.write(chunk.data());
        }
    }

    private void scheduleDrain() {
        if (drainScheduled) {
            return;
        }
        drainScheduled = true;
        long delay = Math.max(1, pending.peekFirst().releaseNanos() - nanoTime.getAsLong());
        sink.eventLoop()
                .schedule(
                        () -> {
                            drainScheduled = false;
                            drain();
                        },
                        delay,
                        TimeUnit.NANOSECONDS);
    }

    void release() {
        pending.forEach(chunk -> chunk.data().release());
        pending.clear();
        pendingBytes = 0;
    }

    private record Chunk(ByteBuf data, boolean last, long releaseNanos) {}
}
