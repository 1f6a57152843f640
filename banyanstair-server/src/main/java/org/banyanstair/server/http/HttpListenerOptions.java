package org.banyanstair.server.http;

import java.time.Duration;

/**
 * Address and limits of an HTTP listener.
 *
 * @param ip address to bind
 * @param port port to bind, 0 for any free port
 * @param eventLoopThreads threads that serve all connections, at least 1
 * @param bodyLimitBytes maximum length of a request body
 * @param streamBufferBytes maximum number of bytes buffered for a slow reader of an event stream
 * @param requestTimeout maximum time from the first to the last byte of a request, and maximum time without progress of
 *     a write
 * @param idleTimeout time after which a connection without a request is closed
 */
public record HttpListenerOptions(
        String ip,
        int port,
        int eventLoopThreads,
        int bodyLimitBytes,
        int streamBufferBytes,
        Duration requestTimeout,
        Duration idleTimeout) {
    /** Maximum length of the request line, and of the header block. */
    static final int MAXIMUM_HEADER_BYTES = 16 * 1024;

    private static final int MEBIBYTE = 1024 * 1024;

    /**
     * Returns options with the default limits: bodies and stream buffers of 1 MiB, a request timeout of 30 s and an
     * idle timeout of 75 s.
     *
     * @param ip address to bind
     * @param port port to bind, 0 for any free port
     */
    public static HttpListenerOptions withDefaults(String ip, int port) {
        int threads = Math.min(4, Runtime.getRuntime().availableProcessors());
        return new HttpListenerOptions(
                ip, port, threads, MEBIBYTE, MEBIBYTE, Duration.ofSeconds(30), Duration.ofSeconds(75));
    }
}
