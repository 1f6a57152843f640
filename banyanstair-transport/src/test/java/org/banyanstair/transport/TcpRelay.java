package org.banyanstair.transport;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;

import org.banyanstair.model.NetworkAddress;

/** Forwards TCP connections and can stall or close them. */
final class TcpRelay implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final int target;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile AtomicBoolean stalled = new AtomicBoolean();

    TcpRelay(int target) throws IOException {
        this.target = target;
        threads.submit(this::accept);
    }

    NetworkAddress address() {
        return new NetworkAddress("127.0.0.1", server.getLocalPort());
    }

    /** Discards all data and closes on the open connections; new connections work unless they are stalled as well. */
    void stall(boolean alsoNew) {
        stalled.set(true);
        stalled = new AtomicBoolean(alsoNew);
    }

    void closeConnections() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private Void accept() throws IOException {
        while (!server.isClosed()) {
            Socket inner = server.accept();
            Socket outer = new Socket(InetAddress.getLoopbackAddress(), target);
            sockets.addAll(List.of(inner, outer));
            AtomicBoolean discarding = stalled;
            threads.submit(() -> pump(inner, outer, discarding));
            threads.submit(() -> pump(outer, inner, discarding));
        }
        return null;
    }

    private static Void pump(Socket from, Socket to, AtomicBoolean discarding) throws IOException {
        try (from) {
            byte[] buffer = new byte[8192];
            InputStream input = from.getInputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                if (!discarding.get()) {
                    to.getOutputStream().write(buffer, 0, count);
                }
            }
        } finally {
            if (!discarding.get()) {
                to.close();
            }
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        server.close();
        closeConnections();
        threads.shutdown();
    }
}
