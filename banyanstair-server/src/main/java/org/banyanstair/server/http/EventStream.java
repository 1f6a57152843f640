package org.banyanstair.server.http;

import java.util.concurrent.atomic.AtomicLong;

import io.jooby.Sender;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;

/**
 * Server-sent events of one response. Each event is flushed at once. Methods may be called from any thread and do not
 * block; a reader that falls behind by more than the limit is cut off.
 */
public final class EventStream {
    private final Exchange exchange;
    private final int bufferBytes;
    private final AtomicLong pendingBytes = new AtomicLong();
    private Sender sender;

    EventStream(Exchange exchange, int bufferBytes) {
        this.exchange = exchange;
        this.bufferBytes = bufferBytes;
    }

    void open(Sender opened) {
        sender = opened;
    }

    /**
     * Sends one event.
     *
     * @param event the event with its field name and the empty line behind it; not to be changed
     */
    public void send(byte[] event) {
        long pending = pendingBytes.addAndGet(event.length);
        if (pending > bufferBytes) {
            exchange.cut();
            return;
        }
        exchange.enqueue(() -> {
            if (sender != null && exchange.channel().isActive()) {
                sender.write(event, (context, failure) -> pendingBytes.addAndGet(-event.length));
            }
        });
    }

    /** Ends the response; the connection stays open for further requests. */
    public void end() {
        exchange.enqueue(() -> {
            if (sender != null && exchange.channel().isActive()) {
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
