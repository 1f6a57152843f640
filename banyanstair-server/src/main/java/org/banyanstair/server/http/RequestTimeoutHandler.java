package org.banyanstair.server.http;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Closes connections whose request does not arrive in time, idle connections, and connections whose client has stopped
 * reading.
 *
 * <p>The timeout covers the whole request, because a client that sends one byte at a time never appears idle.
 */
final class RequestTimeoutHandler extends ChannelDuplexHandler {
    private final Duration requestTimeout;
    private final Duration idleTimeout;
    private Future<?> timer;
    private boolean receivingRequest;

    RequestTimeoutHandler(Duration requestTimeout, Duration idleTimeout) {
        this.requestTimeout = requestTimeout;
        this.idleTimeout = idleTimeout;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        schedule(context, requestTimeout);
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest) {
            receivingRequest = true;
            schedule(context, requestTimeout);
        }
        if (message instanceof LastHttpContent) {
            receivingRequest = false;
            cancel();
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        ChannelPromise flushed = promise;
        if (message instanceof LastHttpContent) {
            flushed = promise.unvoid();
            flushed.addListener(done -> responseEnded(context));
        }
        context.write(message, flushed);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            closeIfStalled(context);
        } else if (event != ListenerState.CloseIfIdle.EVENT || !receivingRequest) {
            context.fireUserEventTriggered(event);
        }
    }

    /**
     * Closes the connection if unsent data is pending. The idle event means that the socket has accepted no data for
     * the duration of the timeout.
     */
    private static void closeIfStalled(ChannelHandlerContext context) {
        ChannelOutboundBuffer outboundBuffer = context.channel().unsafe().outboundBuffer();
        if (outboundBuffer != null && outboundBuffer.totalPendingWriteBytes() > 0) {
            context.close();
        }
    }

    private void responseEnded(ChannelHandlerContext context) {
        if (!receivingRequest && context.channel().isActive()) {
            schedule(context, idleTimeout);
        }
    }

    private void schedule(ChannelHandlerContext context, Duration delay) {
        cancel();
        timer = context.executor().schedule(() -> context.close(), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void cancel() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancel();
        context.fireChannelInactive();
    }
}
