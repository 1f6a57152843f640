package org.banyanstair.forwarder.internal;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;

/**
 * Decodes requests and rejects those with both Content-Length and Transfer-Encoding, which other servers could
 * interpret differently (request smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    /** Finds the first byte that is no line break or space, which are ignored before a request. */
    private static final ByteProcessor BLANK = value -> value >= 0 && value <= ' ';

    private boolean requestStarted;

    StrictRequestDecoder(int lineLimitBytes, int headerLimitBytes, int maximumChunkBytes) {
        super(lineLimitBytes, headerLimitBytes, maximumChunkBytes);
    }

    /** Returns whether a part of a request after the last whole one has arrived. */
    boolean hasPartialRequest() {
        return requestStarted || internalBuffer().forEachByte(BLANK) >= 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int start = buffer.readerIndex();
        int count = out.size();
        super.decode(context, buffer, out);
        if (out.size() > count) {
            requestStarted = !(out.get(out.size() - 1) instanceof LastHttpContent);
        } else if (!requestStarted) {
            requestStarted = buffer.forEachByte(start, buffer.readerIndex() - start, BLANK) >= 0;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are present");
    }
}
