package org.banyanstair.server.http;

import java.time.Duration;

/**
 * Address and limits of one HTTP listener.
 *
 * @param ip address to bind
 * @param port port to bind, 0 for any free port
 * @param eventLoopThreads threads that serve all connections, at least 1
 * @param bodyLimitBytes largest request body
 * @param streamBufferBytes most bytes of one event stream that may wait for a slow reader
 * @param requestTimeout longest time from the first byte of a request to its last one, and for a write to progress
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
    /** Largest request line and largest header block that are accepted. */
    static final int MAXIMUM_HEADER_BYTES = 16 * 1024;

    private static final int MEBIBYTE = 1024 * 1024;

    /**
     * Returns the default limits: bodies and stream buffers of 1 MiB, 30 s for a request, 75 s idle.
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
