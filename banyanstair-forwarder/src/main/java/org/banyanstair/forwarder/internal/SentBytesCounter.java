package org.banyanstair.forwarder.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/** Counts the bytes of responses on a connection. Used on the event loop thread only. */
final class SentBytesCounter extends ChannelOutboundHandlerAdapter {
    private final Runnable listener;
    private long queued;
    private long sent;

    /**
     * Creates a counter at zero.
     *
     * @param listener called after each change
     */
    SentBytesCounter(Runnable listener) {
        this.listener = listener;
    }

    /** Returns the bytes that were written to the connection, whether the operating system has taken them or not. */
    long queued() {
        return queued;
    }

    /** Returns the bytes that the operating system has taken. */
    long sent() {
        return sent;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        int length = message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        queued += length;
        promise.addListener(future -> {
            if (future.isSuccess()) {
                sent += length;
                listener.run();
            }
        });
        context.write(message, promise);
        listener.run();
    }
}
