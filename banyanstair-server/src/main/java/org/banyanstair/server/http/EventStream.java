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
 * Server-sent events of one response. Each event is flushed at once. Methods may be called from any thread and do not
 * block; a reader that falls behind by more than the limit is cut off.
 *
 * <p>Jooby begins and ends the response; the events between are framed here as HTTP chunks and written below the HTTP
 * codec, which takes the event loop less time for each token than Jooby's sender does.
 */
public final class EventStream {
    private static final byte[] CRLF = "\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int CHUNK_OVERHEAD_BYTES = 16;

    private final Exchange exchange;
    private final int bufferLimitBytes;
    /** Bytes that wait for the event loop; those that wait for the socket are counted by the channel. */
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
     * @param event the event with its field name and the empty line behind it, not empty; not to be changed
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

    /** Ends the response; the connection stays open for further requests. */
    public void end() {
        exchange.enqueue(() -> {
            if (isOpen()) {
                sender.close();
            }
        });
    }

    /** Ends the response and closes the connection once everything is sent. */
    public void endAndClose() {
        end();
        exchange.enqueue(
                () -> exchange.channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE));
    }
}
