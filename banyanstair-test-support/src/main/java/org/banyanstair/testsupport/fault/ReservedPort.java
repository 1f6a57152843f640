package org.banyanstair.testsupport.fault;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A loopback port that is bound but not listened on.
 *
 * <p>Connections to it are refused, and no other process gets it as its free port in the meantime.
 */
public final class ReservedPort implements AutoCloseable {
    /** Listening sockets may be closed in the background, so the port is not free at once. */
    private static final int BIND_ATTEMPTS = 100;

    private static final long BIND_RETRY_PAUSE_MILLIS = 20;

    private final Socket socket;

    private ReservedPort(Socket socket) {
        this.socket = socket;
    }

    /**
     * Binds a port, waiting up to 2 s until it is free.
     *
     * @param port the port
     * @return the held port
     * @throws UncheckedIOException if the port stays in use
     */
    public static ReservedPort reserve(int port) {
        for (int attempt = 1; ; attempt++) {
            try {
                return new ReservedPort(bind(port));
            } catch (IOException exception) {
                if (attempt == BIND_ATTEMPTS) {
                    throw new UncheckedIOException(exception);
                }
                sleepBeforeRetry();
            }
        }
    }

    private static Socket bind(int port) throws IOException {
        Socket socket = new Socket();
        try {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress("127.0.0.1", port));
            return socket;
        } catch (IOException exception) {
            socket.close();
            throw exception;
        }
    }

    private static void sleepBeforeRetry() {
        try {
            Thread.sleep(BIND_RETRY_PAUSE_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }

    /** Frees the port. */
    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
