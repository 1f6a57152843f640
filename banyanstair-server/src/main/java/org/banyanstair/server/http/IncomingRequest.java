package org.banyanstair.server.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;

/** A whole request on its connection. Confined to the event loop, except for the immutable request data. */
final class IncomingRequest {
    private final Channel channel;
    private final String method;
    private final String uri;
    private final HttpHeaders headers;
    private final byte[] body;
    private final boolean supportsChunkedEncoding;
    private final List<Runnable> disconnectListeners = new ArrayList<>(1);
    private boolean ended;

    IncomingRequest(Channel channel, FullHttpRequest request) {
        this.channel = channel;
        method = request.method().name();
        uri = request.uri();
        headers = request.headers();
        supportsChunkedEncoding = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
    }

    Channel channel() {
        return channel;
    }

    String method() {
        return method;
    }

    String uri() {
        return uri;
    }

    HttpHeaders headers() {
        return headers;
    }

    byte[] body() {
        return body;
    }

    /** Returns whether the caller reads answers in chunks; for others, the end of the connection ends a stream. */
    boolean supportsChunkedEncoding() {
        return supportsChunkedEncoding;
    }

    void onDisconnect(Runnable listener) {
        disconnectListeners.add(listener);
    }

    /** Marks the request as ended; returns false if it had ended before. */
    boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    void disconnect() {
        if (end()) {
            disconnectListeners.forEach(Runnable::run);
        }
    }
}
