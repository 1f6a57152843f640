package org.banyanstair.transport;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.banyanstair.errors.Failure;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.RequestId;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.transport.internal.FrameCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.FieldSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests in which a raw socket acts as a peer that violates the protocol. */
class MisbehavingPeerTest {
    private static final HostIdentity PEER = new HostIdentity(new HostId("entry-2"), 1);
    private static final byte[] HELLO =
            frame(new PeerMessage.Hello(NettyPeerTransport.PROTOCOL_VERSION, PEER, TestHost.CLUSTER));
    private static final byte[] MESSAGE = frame(new PeerMessage.StatusRequest(1));

    static final List<byte[]> UNACCEPTABLE_HELLOS = List.of(
            frame(new PeerMessage.Hello(NettyPeerTransport.PROTOCOL_VERSION, PEER, "another")),
            frame(new PeerMessage.Hello(NettyPeerTransport.PROTOCOL_VERSION + 1, PEER, TestHost.CLUSTER)),
            frame(new PeerMessage.Hello(
                    NettyPeerTransport.PROTOCOL_VERSION, new HostIdentity(new HostId("entry-1"), 1), TestHost.CLUSTER)),
            frame(new PeerMessage.Hello(NettyPeerTransport.PROTOCOL_VERSION, null, TestHost.CLUSTER)),
            MESSAGE);

    /**
     * Random bytes, an empty body, trailing bytes, an unknown type, a claimed length of 2 GiB, a frame length above the
     * limit, and a negative one.
     */
    static final List<byte[]> BAD_FRAMES = List.of(
            frame(randomBytes()),
            frame(new byte[0]),
            frame(concatenate(FrameCodec.encode(new PeerMessage.StatusRequest(1)), new byte[] {1})),
            frame(new byte[] {(byte) 0x81, (byte) 0xa4, 't', 'y', 'p', 'e', (byte) 0xa1, 'X'}),
            frame(new byte[] {(byte) 0x81, (byte) 0xa1, 'b', (byte) 0xc6, 0x7f, -1, -1, -1, 0}),
            new byte[] {0x00, 0x01, 0x00, 0x01},
            new byte[] {-1, -1, -1, -1});

    /** Guards against processing messages of hosts of another cluster or protocol version, or before the handshake. */
    @ParameterizedTest
    @FieldSource("UNACCEPTABLE_HELLOS")
    void closesConnectionWithUnacceptableHello(byte[] hello) throws Exception {
        try (TestHost host = TestHost.withDefaultTimeouts("entry-1");
                Socket socket = connect(host)) {
            socket.getOutputStream().write(concatenate(hello, MESSAGE));
            awaitEnd(socket);
            assertEquals(1, host.transport.counters().rejectedHandshakes());
            assertTrue(host.listener.events.isEmpty() && host.listener.messages.isEmpty());
        }
    }

    /** Guards against a malformed frame that stops the transport, is not counted, or is followed by further frames. */
    @ParameterizedTest
    @FieldSource("BAD_FRAMES")
    void closesOnlyConnectionWithMalformedFrame(byte[] bad) throws Exception {
        try (TestHost host = TestHost.withDefaultTimeouts("entry-1");
                TestHost other = TestHost.withDefaultTimeouts("entry-3")) {
            other.addAddressOf(host);
            other.send(host.id(), 5);
            assertEquals(5, host.listener.awaitQuery());
            // A connection without a hello is closed after 500 ms, so it is opened only now.
            try (Socket socket = connect(host)) {
                socket.getOutputStream().write(concatenate(HELLO, MESSAGE, bad, MESSAGE));
                awaitEnd(socket);
            }
            assertEquals(1, host.listener.awaitQuery());
            assertEquals(1, host.transport.counters().malformedFrames());
            other.send(host.id(), 6);
            assertEquals(6, host.listener.awaitQuery());
            assertEquals(1, other.transport.counters().connectionsOpened());
        }
    }

    /** Guards against a peer that does not read: it must not block senders or exhaust memory. */
    @Test
    void dropsConnectionWhoseQueueOverflows() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                TestHost host = new TestHost(
                        "entry-1", 1, TestHost.freePort(), Duration.ofSeconds(10), Duration.ofSeconds(30))) {
            host.addresses.put(PEER.host(), new NetworkAddress("127.0.0.1", server.getLocalPort()));
            host.send(PEER.host(), 1);
            try (Socket accepted = server.accept()) {
                accepted.getOutputStream().write(HELLO);
                host.listener.awaitEvent("connected " + PEER);
                int sent = 0;
                long longestNanos = 0;
                while (host.listener.events.isEmpty() && sent < 200_000) {
                    long start = System.nanoTime();
                    host.transport.send(PEER.host(), permitRequest());
                    longestNanos = Math.max(longestNanos, System.nanoTime() - start);
                    sent++;
                }
                host.listener.awaitEvent("unreachable " + PEER.host());
                assertTrue(longestNanos < 1_000_000_000L, "sender blocked for " + longestNanos + " ns");
                TestHost.await(
                        () -> host.transport.counters().connectionsClosed() >= 1, "the connection was not closed");
                assertTrue(host.transport.counters().droppedMessages() >= 4_096);
            }
        }
    }

    /** Guards against a message above the frame limit that the peer would refuse by closing the connection. */
    @Test
    void refusesToSendTooLongMessage() throws Exception {
        try (TestHost host = TestHost.withDefaultTimeouts("entry-1")) {
            host.transport.send(PEER.host(), longMessage(TestHost.MAXIMUM_FRAME_BYTES));
            host.listener.awaitEvent("unreachable " + PEER.host());
            assertEquals(0, host.transport.counters().connectionsOpened());
        }
    }

    private static Socket acceptAndSendHello(ServerSocket server) {
        try {
            Socket socket = server.accept();
            socket.getOutputStream().write(HELLO);
            return socket;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Guards against messages that remain queued, neither sent nor reported, after their connection has closed. */
    @Test
    void sendsQueuedMessagesOverNewConnection() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                TestHost host = TestHost.withDefaultTimeouts("entry-1")) {
            server.setSoTimeout(5_000);
            host.addresses.put(PEER.host(), new NetworkAddress("127.0.0.1", server.getLocalPort()));
            // The host waits 500 ms for the hello, and encoding the messages may take longer on a busy machine.
            CompletableFuture<Socket> accepted = CompletableFuture.supplyAsync(() -> acceptAndSendHello(server));
            // 30 MB exceed the socket buffers, but not the outbound queue.
            IntStream.range(0, 500).forEach(number -> host.transport.send(PEER.host(), longMessage(60_000)));
            try (Socket first = accepted.get(5, TimeUnit.SECONDS)) {
                host.listener.awaitEvent("connected " + PEER);
                Thread.sleep(300);
                host.now = host.now.plusSeconds(45);
            }
            try (Socket second = server.accept()) {
                second.getOutputStream().write(HELLO);
                second.setSoTimeout(5_000);
                assertEquals(100_000, second.getInputStream().readNBytes(100_000).length);
            }
        }
    }

    private static PeerMessage longMessage(int length) {
        Failure failure = new Failure.UnknownModel("x".repeat(length));
        return new PeerMessage.PermitRefusal(new RequestId("r"), 1, new PoolId("p"), 1, failure);
    }

    static PeerMessage permitRequest() {
        return new PeerMessage.PermitRequest(
                new RequestId("entry-1-1-000001"),
                1,
                new PoolId("assistant"),
                AdapterVersion.parse("assistant/tender@v2"),
                new CallerId("clerk"),
                10,
                20,
                PriorityClass.PREMIUM,
                Instant.EPOCH,
                42,
                new Fingerprint("0123456789abcdef"),
                List.of(),
                Set.of());
    }

    private static Socket connect(TestHost host) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), host.address.port());
        socket.setSoTimeout(5_000);
        return socket;
    }

    private static void awaitEnd(Socket socket) throws IOException {
        try {
            socket.getInputStream().readAllBytes();
        } catch (SocketException exception) {
            // A reset ends the connection as well; a read timeout fails the test.
        }
    }

    private static byte[] frame(PeerMessage message) {
        return frame(FrameCodec.encode(message));
    }

    private static byte[] frame(byte[] body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            output.writeInt(body.length);
            output.write(body);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return bytes.toByteArray();
    }

    private static byte[] concatenate(byte[]... parts) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        List.of(parts).forEach(bytes::writeBytes);
        return bytes.toByteArray();
    }

    private static byte[] randomBytes() {
        byte[] bytes = new byte[300];
        new Random(20_261_204).nextBytes(bytes);
        return bytes;
    }
}
