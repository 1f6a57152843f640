package org.banyanstair.server.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

import io.jooby.Sender;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * Response that consists of server-sent events. Each event is flushed immediately. Methods are thread-safe and do not
 * block; the connection of a client whose buffered events exceed the limit is closed.
 *
 * <p>Jooby starts and ends the response. The events in between are encoded as HTTP chunks here and written below the
 * HTTP codec, which takes less event loop time per token than Jooby's sender.
 */
public final class EventStream {
    private static final byte[] CRLF = "\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int CHUNK_OVERHEAD_BYTES = 16;

    private final Exchange exchange;
    private final int bufferLimitBytes;
    /** Bytes queued for the event loop; the channel counts those that wait for the socket. */
    private final AtomicLong queuedBytes = new AtomicLong();

    private Sender sender;

    EventStream(Exchange exchange, int bufferLimitBytes) {
        this.exchange = exchange;
        this.bufferLimitBytes = bufferLimitBytes;
    }

    void open(Sender opened) {
        sender = opened;
    }

    /**
     * Sends one event.
     *
     * @param event the event with its field name and trailing blank line, not empty; must not be modified
     */
    public void send(byte[] event) {
        if (queuedBytes.addAndGet(event.length) > bufferLimitBytes) {
            exchange.abort();
            return;
        }
        exchange.enqueue(() -> {
            queuedBytes.addAndGet(-event.length);
            if (isOpen()) {
                write(event);
            }
        });
    }

    private boolean isOpen() {
        return sender != null && exchange.channel().isActive();
    }

    private void write(byte[] event) {
        Channel channel = exchange.channel();
        ByteBuf chunk = channel.alloc().directBuffer(event.length + CHUNK_OVERHEAD_BYTES);
        if (exchange.supportsChunkedEncoding()) {
            chunk.writeCharSequence(Integer.toHexString(event.length), StandardCharsets.US_ASCII);
            chunk.writeBytes(CRLF).writeBytes(event).writeBytes(CRLF);
        } else {
            chunk.writeBytes(event);
        }
        channel.pipeline().context(JoobyNettyServer.HTTP_CODEC_HANDLER).writeAndFlush(chunk, channel.voidPromise());
        ChannelOutboundBuffer outboundBuffer = channel.unsafe().outboundBuffer();
        if (outboundBuffer != null && outboundBuffer.totalPendingWriteBytes() > bufferLimitBytes) {
            exchange.abort();
        }
    }

    /** Ends the response and keeps the connection open for further requests. */
    public void end() {
        exchange.enqueue(() -> {
            if (isOpen()) {
                sender.close();
            }
        });
    }

    /** Ends the response and closes the connection after all data has been flushed. */
    public void endAndClose() {
        end();
        exchange.enqueue(
                () -> exchange.channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE));
    }
}
