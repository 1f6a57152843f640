package org.banyanstair.forwarder.internal;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.banyanstair.forwarding.DecisionRecord;
import org.banyanstair.model.NetworkAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Responses of the log service, and of runners to state requests and commands. */
class ResponseAggregatorTest {
    /** Bytes after which the fake server stops writing; far above the accepted maximum and the socket buffers. */
    private static final long GIVE_UP_BYTES = 192L << 20;

    private static final long MAXIMUM_ACCEPTED_BYTES = 24L << 20;

    private static final int MAXIMUM_BODY_BYTES = 1 << 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final ConcurrentLinkedQueue<DecisionRecord> log = new ConcurrentLinkedQueue<>();
    private final ForwarderMetrics metrics = new ForwarderMetrics();
    private final EndpointConnectionPool connections = new EndpointConnectionPool(
            loop,
            Duration.ofSeconds(1),
            new ConnectionMemoryBudget(new MemoryLimits(32 << 20, 32 << 20, 32 << 20), InstantSource.system()),
            new RejectedResponses(metrics, log::add));
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** Serves one connection and returns the bytes that were written until the client closed it. */
    private CompletableFuture<Long> serve(String prefix, String repeatedText, long limit) {
        CompletableFuture<Long> written = new CompletableFuture<>();
        Thread thread = new Thread(() -> {
            long count = 0;
            byte[] block = repeatedText
                    .repeat(1 + (16 << 10) / (1 + repeatedText.length()))
                    .getBytes(StandardCharsets.UTF_8);
            try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[4096]);
                OutputStream output = socket.getOutputStream();
                output.write(prefix.getBytes(StandardCharsets.UTF_8));
                while (count < limit) {
                    output.write(block);
                    count += block.length;
                }
                written.complete(count);
            } catch (IOException exception) {
                // The client closed the connection, which the tests wait for.
                written.complete(count);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return written;
    }

    private Optional<String> send() throws Exception {
        CompletableFuture<Optional<String>> response = new CompletableFuture<>();
        NetworkAddress address = new NetworkAddress("127.0.0.1", server.getLocalPort());
        loop.execute(() -> {
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/v1/report");
            ResponseAggregator.send(
                    connections,
                    address,
                    request,
                    Duration.ofSeconds(10),
                    MAXIMUM_BODY_BYTES,
                    () -> {},
                    received -> response.complete(
                            received.map(fullResponse -> fullResponse.content().toString(StandardCharsets.UTF_8))));
        });
        return response.get(5, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n",
                "HTTP/1.1 200 ",
                ""
            })
    void endlessResponseIsCutOffAtSizeLimitBeforeTimeout(String prefix) throws Exception {
        CompletableFuture<Long> written = serve(prefix, " ", GIVE_UP_BYTES);
        assertEquals(Optional.empty(), send());
        assertTrue(written.get(5, TimeUnit.SECONDS) < MAXIMUM_ACCEPTED_BYTES, "bytes: " + written.get());
        assertEquals(1, log.size());
        assertEquals("answer-rejected", log.peek().kind());
        assertTrue(new String(metrics.render(), StandardCharsets.UTF_8)
                .contains("banyanstair_rejected_answers_total{fault="));
    }

    @Test
    void responseOfMaximumLengthIsAccepted() throws Exception {
        serve(
                "HTTP/1.1 200 OK\r\nContent-Length: " + MAXIMUM_BODY_BYTES + "\r\n\r\n"
                        + "x".repeat(MAXIMUM_BODY_BYTES),
                "",
                0);
        assertEquals(Optional.of("x".repeat(MAXIMUM_BODY_BYTES)), send());
        assertEquals(0, log.size());
    }
}
