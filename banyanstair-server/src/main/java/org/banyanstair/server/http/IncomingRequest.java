package org.banyanstair.server.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Complete request with the state of its connection. The request data is immutable; everything else is confined to the
 * event loop.
 */
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

    /** Returns whether the client supports chunked encoding; without it, a stream ends when the connection closes. */
    boolean supportsChunkedEncoding() {
        return supportsChunkedEncoding;
    }

    void onDisconnect(Runnable listener) {
        disconnectListeners.add(listener);
    }

    /** Marks the request as ended. Returns false if it had already ended. */
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
