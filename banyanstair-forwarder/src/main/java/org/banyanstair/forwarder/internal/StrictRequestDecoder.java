package org.banyanstair.forwarder.internal;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Reads requests and refuses those that give their length twice, which others could read differently. */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(int lineLimitBytes, int headerLimitBytes, int maximumChunkBytes) {
        super(lineLimitBytes, headerLimitBytes, maximumChunkBytes);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks");
    }
}
