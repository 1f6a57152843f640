package org.banyanstair.forwarder.internal;

import java.util.Optional;
import java.util.function.Function;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import org.tinylog.Logger;

/** Serves short requests without a body: readiness probe, directory and metrics. */
public final class QueryConnection extends ChannelInboundHandlerAdapter {
    private final Function<HttpRequest, Optional<FullHttpResponse>> responder;

    /**
     * Creates the handler of one connection.
     *
     * @param responder builds the response; empty for an unknown path
     */
    public QueryConnection(Function<HttpRequest, Optional<FullHttpResponse>> responder) {
        this.responder = responder;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (((HttpObject) message).decoderResult().isFailure()) {
                context.close();
            } else if (message instanceof HttpRequest request) {
                FullHttpResponse response = responder
                        .apply(request)
                        .orElseGet(
                                () -> new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NOT_FOUND));
                HttpUtil.setContentLength(response, response.content().readableBytes());
                if (HttpUtil.isKeepAlive(request)) {
                    context.writeAndFlush(response);
                } else {
                    HttpUtil.setKeepAlive(response, false);
                    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Logger.debug("connection {} failed: {}", context.channel().remoteAddress(), cause.toString());
        context.close();
    }
}
