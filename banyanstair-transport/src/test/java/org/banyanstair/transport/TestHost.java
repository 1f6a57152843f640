package org.banyanstair.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.PeerMessage;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Started transport with its listener, on a free loopback port. */
final class TestHost implements AutoCloseable {
    static final String CLUSTER = "test";
    static final int MAXIMUM_FRAME_BYTES = 64 << 10;

    final RecordingListener listener = new RecordingListener();
    final Map<HostId, NetworkAddress> addresses = new ConcurrentHashMap<>();
    final HostIdentity identity;
    final NetworkAddress address;
    final NettyPeerTransport transport;
    volatile Instant now = Instant.EPOCH;

    TestHost(String name, long incarnation, int port, Duration heartbeat, Duration silence) {
        identity = new HostIdentity(new HostId(name), incarnation);
        address = new NetworkAddress("127.0.0.1", port);
        PeerTransportSettings settings = new PeerTransportSettings(
                identity, CLUSTER, address, heartbeat, silence, Duration.ofMillis(500), MAXIMUM_FRAME_BYTES);
        transport =
                new NettyPeerTransport(settings, host -> Optional.ofNullable(addresses.get(host)), listener, () -> now);
        transport.start();
    }

    /** Creates a host with a heartbeat timeout of 500 ms, which keeps tests of stalled connections short. */
    static TestHost withShortTimeouts(String name) throws IOException {
        return new TestHost(name, 1, freePort(), Duration.ofMillis(100), Duration.ofMillis(500));
    }

    /** Creates a host with the timeouts of production, which pauses of a busy test machine do not exceed. */
    static TestHost withDefaultTimeouts(String name) throws IOException {
        return new TestHost(name, 1, freePort(), Duration.ofSeconds(1), Duration.ofSeconds(3));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static void await(BooleanSupplier condition, String what) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertTrue(condition.getAsBoolean(), what);
    }

    HostId id() {
        return identity.host();
    }

    void addAddressOf(TestHost other) {
        addresses.put(other.id(), other.address);
    }

    void send(HostId peer, long query) {
        transport.send(peer, new PeerMessage.StatusRequest(query));
    }

    @Override
    public void close() {
        transport.stop();
    }
}
