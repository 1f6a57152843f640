package org.banyanstair.server.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.banyanstair.errors.Failure;

/** Sends the error response for requests that are rejected before they reach a route. */
final class DirectErrorResponse {
    private DirectErrorResponse() {}

    static void sendAndClose(ChannelHandlerContext context, Failure failure) {
        ErrorResponse error = ErrorResponse.of(failure);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(error.status()), Unpooled.wrappedBuffer(error.body()));
        error.headers().forEach(response.headers()::set);
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, Exchange.JSON)
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}
