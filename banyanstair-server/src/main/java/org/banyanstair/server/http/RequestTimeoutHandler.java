package org.banyanstair.server.http;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Closes connections whose request does not arrive in time, and idle ones.
 *
 * <p>The limit covers the whole request, because a sender that trickles single bytes never looks idle.
 */
final class RequestTimeoutHandler extends ChannelDuplexHandler {
    private final Duration requestTimeout;
    private final Duration idleTimeout;
    private Future<?> timer;
    private boolean reading;

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
            reading = true;
            schedule(context, requestTimeout);
        }
        if (message instanceof LastHttpContent) {
            reading = false;
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

    private void responseEnded(ChannelHandlerContext context) {
        if (!reading && context.channel().isActive()) {
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
