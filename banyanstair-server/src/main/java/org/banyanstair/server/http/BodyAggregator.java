package org.banyanstair.server.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import org.banyanstair.errors.Failure;

/** Aggregates request bodies and passes on a {@link RejectedRequest} if a body exceeds the limit. */
final class BodyAggregator extends HttpObjectAggregator {
    private final int limitBytes;

    BodyAggregator(int limitBytes) {
        super(limitBytes);
        this.limitBytes = limitBytes;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        context.fireUserEventTriggered(new RejectedRequest(new Failure.BodyTooLarge(limitBytes)));
    }
}
