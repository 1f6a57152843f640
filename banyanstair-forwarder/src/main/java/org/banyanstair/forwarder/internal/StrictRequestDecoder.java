package org.banyanstair.forwarder.internal;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those with both Content-Length and Transfer-Encoding, which other servers could
 * interpret differently (request smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(int lineLimitBytes, int headerLimitBytes, int maximumChunkBytes) {
        super(lineLimitBytes, headerLimitBytes, maximumChunkBytes);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are present");
    }
}
