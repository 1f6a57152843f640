package org.banyanstair.server.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import org.banyanstair.errors.Failure;

/** Aggregates request bodies and responds with 413 and the error envelope if a body exceeds the limit. */
final class BodyAggregator extends HttpObjectAggregator {
    private final int limitBytes;

    BodyAggregator(int limitBytes) {
        super(limitBytes);
        this.limitBytes = limitBytes;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        DirectErrorResponse.sendAndClose(context, new Failure.BodyTooLarge(limitBytes));
    }
}
