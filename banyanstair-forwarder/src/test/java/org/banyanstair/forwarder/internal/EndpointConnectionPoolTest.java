package org.banyanstair.forwarder.internal;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.banyanstair.model.NetworkAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EndpointConnectionPoolTest {
    /** Shorter than the time for which an idle connection is kept. */
    private static final long CLOSE_NOTICE_MILLISECONDS = 500;

    private static final int ACCEPT_TIMEOUT_MILLISECONDS = 2_000;

    /** More than fits into the buffers of the sockets. */
    private static final int BODY_BYTES = 8 << 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final EndpointConnectionPool connections = new EndpointConnectionPool(
            loop,
            Duration.ofSeconds(1),
            new ConnectionMemoryBudget(new MemoryLimits(32 << 20, 32 << 20, 32 << 20), InstantSource.system()),
            new RejectedResponses(new ForwarderMetrics(), decision -> {}));
    private ServerSocket server;
    private volatile long responseDelayMilliseconds;
    private volatile boolean closing;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::respondToEachRequest);
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private void respondToEachRequest() {
        try {
            while (!server.isClosed()) {
                serveConnection();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (IOException exception) {
            // The client closed the connection at the end of the test.
            return;
        }
    }

    private void serveConnection() throws IOException, InterruptedException {
        try (Socket socket = server.accept()) {
            byte[] request = new byte[4096];
            while (socket.getInputStream().read(request) > 0) {
                Thread.sleep(responseDelayMilliseconds);
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole".getBytes(StandardCharsets.UTF_8));
                if (closing) {
                    return;
                }
            }
        }
    }

    /** Pauses reading at each part of the body, as for a caller that reads slowly. */
    private static class SlowListener implements ResponseListener {
        final CompletableFuture<String> outcome = new CompletableFuture<>();
        private EndpointCall call;

        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onContent(ByteBuf bytes) {
            call.setAutoRead(false);
        }

        @Override
        public boolean isForeign() {
            return false;
        }

        @Override
        public boolean expectsBody() {
            return true;
        }

        @Override
        public void onComplete() {
            outcome.complete("whole");
        }

        @Override
        public void onFailure(boolean mayHaveRun) {
            outcome.complete("failed");
        }

        @Override
        public void onRejected(ResponseFault fault) {
            outcome.complete("rejected");
        }
    }

    private void send(SlowListener listener) {
        NetworkAddress address = new NetworkAddress("127.0.0.1", server.getLocalPort());
        listener.call = connections.send(
                address, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), listener);
    }

    private String call() throws Exception {
        SlowListener listener = new SlowListener();
        loop.execute(() -> send(listener));
        return listener.outcome.get(3, TimeUnit.SECONDS);
    }

    /**
     * Guards against rejecting a slow endpoint, by a head timer that runs before the first byte of the response
     * arrives.
     */
    @Test
    void headTimeoutStartsWithFirstByteOfResponse() throws Exception {
        SlowListener second = new SlowListener();
        SlowListener first = new SlowListener() {
            @Override
            public void onComplete() {
                responseDelayMilliseconds = 1500;
                send(second);
                super.onComplete();
            }
        };
        loop.execute(() -> send(first));
        assertEquals("whole", first.outcome.get(3, TimeUnit.SECONDS));
        assertEquals("whole", second.outcome.get(6, TimeUnit.SECONDS));
        assertEquals(1, connections.openedTotal());
    }

    /** Guards against a reused connection on which reading is still paused, so that the next request times out. */
    @Test
    void readingResumesOnConnectionReusedAfterSlowListener() throws Exception {
        assertEquals("whole", call());
        assertEquals("whole", call());
        assertEquals(1, connections.openedTotal());
    }

    /** Guards against an idle connection on which reading is still paused, so that its end is noticed too late. */
    @Test
    void connectionClosedWhileIdleAfterSlowListenerIsNotUsed() throws Exception {
        closing = true;
        assertEquals("whole", call());
        Thread.sleep(CLOSE_NOTICE_MILLISECONDS);
        assertEquals("whole", call());
        assertEquals(2, connections.openedTotal());
    }

    /** Tells why no connection was opened. */
    private static final class OpeningListener extends SlowListener {
        @Override
        public void onFailure(boolean mayHaveRun) {
            outcome.complete(mayHaveRun ? "sent" : "reset");
        }

        @Override
        public void onConnectionRefused() {
            outcome.complete("refused");
        }
    }

    /** Guards against an endpoint that is taken for gone because it reset a connection that it had accepted. */
    @Test
    void connectionThatIsResetBeforeItIsUsedIsNotRefused() throws Exception {
        try (ServerSocket resetting = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            OpeningListener listener = new OpeningListener();
            resetting.setSoTimeout(ACCEPT_TIMEOUT_MILLISECONDS);
            loop.execute(() -> {
                connections.send(
                        new NetworkAddress("127.0.0.1", resetting.getLocalPort()),
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                        listener);
                // Runs after the connection was requested and before its opening is noticed.
                loop.submit(() -> {
                    Socket accepted = resetting.accept();
                    accepted.setSoLinger(true, 0);
                    accepted.close();
                    return null;
                });
            });
            assertEquals("reset", listener.outcome.get(3, TimeUnit.SECONDS));
        }
    }

    @Test
    void connectionToClosedPortIsRefused() throws Exception {
        server.close();
        OpeningListener listener = new OpeningListener();
        loop.execute(() -> send(listener));
        assertEquals("refused", listener.outcome.get(3, TimeUnit.SECONDS));
    }

    /** Guards against an endpoint that does not read and is sent one request after another. */
    @Test
    void endpointThatDoesNotReadIsBackloggedUntilItHasRead() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            NetworkAddress address = new NetworkAddress("127.0.0.1", silent.getLocalPort());
            for (int number = 0; number < 8; number++) {
                loop.submit(() -> connections.send(
                                address,
                                new DefaultFullHttpRequest(
                                        HttpVersion.HTTP_1_1,
                                        HttpMethod.POST,
                                        "/",
                                        Unpooled.wrappedBuffer(new byte[BODY_BYTES])),
                                new SlowListener()))
                        .get();
            }
            Socket[] sockets = new Socket[8];
            for (int number = 0; number < sockets.length; number++) {
                sockets[number] = silent.accept();
            }
            awaitBacklog(address, true);
            NetworkAddress other = new NetworkAddress("127.0.0.1", server.getLocalPort());
            assertFalse(loop.submit(() -> connections.backlog().isFull(other)).get());
            for (Socket socket : sockets) {
                socket.setSoTimeout(5000);
                socket.getInputStream().readNBytes(BODY_BYTES);
            }
            awaitBacklog(address, false);
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private void awaitBacklog(NetworkAddress address, boolean expected) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (loop.submit(() -> connections.backlog().isFull(address)).get() != expected) {
            assertTrue(System.nanoTime() < end, "backlog " + connections.unwrittenBytes());
            Thread.sleep(10);
        }
    }
}
