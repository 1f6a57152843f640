package org.banyanstair.testsupport.network;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.banyanstair.model.NetworkAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a proxy that loses data without a fault or forwards data despite one. */
class FaultProxyTest {
    private static final int READ_TIMEOUT_MILLIS = 300;

    private ServerSocket echo;
    private Thread echoAcceptor;
    private FaultProxy proxy;

    @BeforeEach
    void start() throws IOException {
        echo = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        echoAcceptor = startThread(this::acceptAll);
        proxy = new FaultProxy(0, new NetworkAddress("127.0.0.1", echo.getLocalPort()));
        proxy.start();
    }

    @AfterEach
    void stop() throws IOException {
        proxy.stop();
        echo.close();
    }

    @Test
    void largeTransfersArriveUnchanged() throws Exception {
        proxy.setLatency(Duration.ofMillis(1));
        byte[] sent = new byte[8 << 20];
        new Random(1).nextBytes(sent);
        try (Socket socket = connect()) {
            socket.setSoTimeout(5_000);
            CompletableFuture<Void> writing = CompletableFuture.runAsync(() -> write(socket, sent));
            byte[] received = socket.getInputStream().readNBytes(sent.length);
            writing.join();
            assertArrayEquals(sent, received);
        }
        awaitNoConnections();
    }

    @Test
    void resetConnectionsFailAndNewOnesWork() throws Exception {
        try (Socket socket = connect()) {
            assertEcho(socket, 1);
            proxy.resetConnections();
            assertThrows(SocketException.class, () -> assertEcho(socket, 2));
        }
        try (Socket socket = connect()) {
            assertEcho(socket, 3);
        }
    }

    @Test
    void refusingConnectionsKeepsOpenOnes() throws Exception {
        try (Socket socket = connect()) {
            assertEcho(socket, 1);
            proxy.refuseConnections();
            assertThrows(ConnectException.class, this::connect);
            assertEcho(socket, 2);
        }
        proxy.acceptConnections();
        try (Socket socket = connect()) {
            assertEcho(socket, 3);
        }
    }

    @Test
    void stalledConnectionsStayStalledWhileNewOnesWork() throws Exception {
        try (Socket stalled = connect()) {
            assertEcho(stalled, 1);
            proxy.stallOpenConnections();
            assertStalled(stalled, 2);
            try (Socket newSocket = connect()) {
                assertEcho(newSocket, 3);
            }
            proxy.setStalled(Direction.TO_CLIENT, true);
            proxy.setStalled(Direction.TO_CLIENT, false);
            assertStalled(stalled, 4);
        }
    }

    @Test
    void oneWayStallHoldsDataUntilItEnds() throws Exception {
        try (Socket socket = connect()) {
            assertEcho(socket, 1);
            proxy.setStalled(Direction.TO_CLIENT, true);
            assertStalled(socket, 2);
            try (Socket newSocket = connect()) {
                assertStalled(newSocket, 3);
            }
            proxy.setStalled(Direction.TO_CLIENT, false);
            assertEquals(2, socket.getInputStream().read());
            assertEcho(socket, 4);
        }
    }

    @Test
    void latencyAppliesToBothDirections() throws Exception {
        try (Socket socket = connect()) {
            assertEcho(socket, 1);
            proxy.setLatency(Duration.ofMillis(50));
            long start = System.nanoTime();
            assertEcho(socket, 2);
            assertTrue(System.nanoTime() - start >= Duration.ofMillis(100).toNanos());
        }
    }

    @Test
    void closedSidesAreForwarded() throws Exception {
        try (Socket socket = connect()) {
            assertEcho(socket, 1);
            closeEchoListener();
            socket.getOutputStream().write(0);
            assertEquals(-1, socket.getInputStream().read());
        }
        awaitNoConnections();
        try (Socket socket = connect()) {
            assertThrows(IOException.class, () -> assertEcho(socket, 2));
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", proxy.address().port());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private static void assertEcho(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
        int read = socket.getInputStream().read();
        if (read < 0) {
            throw new IOException("the connection was closed");
        }
        assertEquals(value, read);
    }

    private static void assertStalled(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
    }

    private void awaitNoConnections() throws InterruptedException {
        for (int i = 0; i < 100 && proxy.openConnections() > 0; i++) {
            Thread.sleep(10);
        }
        assertEquals(0, proxy.openConnections());
    }

    private static void write(Socket socket, byte[] data) {
        try {
            socket.getOutputStream().write(data);
        } catch (IOException exception) {
            throw new java.io.UncheckedIOException(exception);
        }
    }

    /** A thread that waits in accept() may return one more connection after close(), and the kernel listens until then. */
    private void closeEchoListener() throws Exception {
        echo.close();
        echoAcceptor.join();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = echo.accept();
                startThread(() -> echoAll(socket));
            }
        } catch (IOException exception) {
            return;
        }
    }

    /** Echoes all data; closes the connection on a single zero byte. */
    private void echoAll(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[8_192];
            for (int count = in.read(buffer); count > 0; count = in.read(buffer)) {
                if (count == 1 && buffer[0] == 0) {
                    return;
                }
                socket.getOutputStream().write(buffer, 0, count);
            }
        } catch (IOException exception) {
            return;
        }
    }

    private static Thread startThread(Runnable task) {
        Thread thread = new Thread(task, "echo");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
