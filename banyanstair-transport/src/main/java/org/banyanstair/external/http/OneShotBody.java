package org.banyanstair.external.http;

import java.io.IOException;

import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;

/**
 * JSON request body that OkHttp may send only once.
 *
 * <p>Otherwise OkHttp retries a request that was answered with status 503 and {@code Retry-After: 0}, even if retries
 * on connection failures are disabled.
 */
final class OneShotBody extends RequestBody {
    private static final MediaType JSON = MediaType.get("application/json");

    private final byte[] content;

    OneShotBody(byte[] content) {
        this.content = content;
    }

    @Override
    public MediaType contentType() {
        return JSON;
    }

    @Override
    public long contentLength() {
        return content.length;
    }

    @Override
    public boolean isOneShot() {
        return true;
    }

    @Override
    public void writeTo(BufferedSink sink) throws IOException {
        sink.write(content);
    }
}
