package org.banyanstair.testsupport.network;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;

/**
 * One direction of a proxied connection. Used only on the event loop of the proxy.
 *
 * <p>While the pipe is blocked it stops reading, as a partitioned network does: the sender's buffers fill, nothing is
 * lost, and data flows again afterwards.
 */
final class Pipe {
    /** Bytes held back by latency or a slow sink above which the source is not read. */
    private static final int MAX_PENDING_BYTES = 1 << 20;

    private final Channel source;
    private final Channel sink;
    private final Deque<Chunk> pending = new ArrayDeque<>();
    private long latencyNanos;
    private long lastReleaseNanos = System.nanoTime();
    private int pendingBytes;
    private boolean blocked;
    private boolean drainScheduled;

    Pipe(Channel source, Channel sink) {
        this.source = source;
        this.sink = sink;
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

    /** The source was closed; the sink is closed once everything before that was forwarded. */
    void sourceClosed() {
        enqueue(new Chunk(Unpooled.EMPTY_BUFFER, true, releaseTime()));
    }

    /** Chunks keep their order when the latency is lowered. */
    private long releaseTime() {
        long earliest = System.nanoTime() + latencyNanos;
        lastReleaseNanos = earliest - lastReleaseNanos > 0 ? earliest : lastReleaseNanos;
        return lastReleaseNanos;
    }

    private void enqueue(Chunk chunk) {
        pending.addLast(chunk);
        drain();
    }

    /** Forwards what is due and sets whether the source is read. */
    void drain() {
        while (!blocked && sink.isWritable() && isDue()) {
            forward(pending.removeFirst());
        }
        sink.flush();
        if (!blocked && !pending.isEmpty() && !isDue()) {
            scheduleDrain();
        }
        source.config().setAutoRead(!blocked && pendingBytes < MAX_PENDING_BYTES);
    }

    private boolean isDue() {
        return !pending.isEmpty() && pending.peekFirst().releaseNanos() - System.nanoTime() <= 0;
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
        long delay = Math.max(1, pending.peekFirst().releaseNanos() - System.nanoTime());
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
