package org.banyanstair.testsupport.fault;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A loopback port that is bound without listening.
 *
 * <p>The operating system refuses connections to it and does not assign it to other processes.
 */
public final class ReservedPort implements AutoCloseable {
    /** A listening socket may be closed asynchronously, so the port may still be in use at first. */
    private static final int BIND_ATTEMPTS = 100;

    private static final long BIND_RETRY_PAUSE_MILLIS = 20;

    private final Socket socket;

    private ReservedPort(Socket socket) {
        this.socket = socket;
    }

    /**
     * Binds a port; waits up to 2 s for it to become free.
     *
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

    /** Releases the port. */
    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
