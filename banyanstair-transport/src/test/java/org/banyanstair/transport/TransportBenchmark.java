package org.banyanstair.transport;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.transport.internal.FrameCodec;

/** Measures messages a second over one loopback connection, from one sending thread; ends after a few seconds. */
public final class TransportBenchmark {
    private static final int WINDOW = 2_000;
    private static final int ROUNDS = 3;

    private TransportBenchmark() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments none
     * @throws Exception if a port cannot be bound
     */
    public static void main(String[] arguments) throws Exception {
        Semaphore window = new Semaphore(WINDOW);
        NetworkAddress address = freeAddress();
        NettyPeerTransport receiver = transport("entry-2", address, address, new Releasing(window));
        NettyPeerTransport sender = transport("entry-1", freeAddress(), address, new Releasing(new Semaphore(0)));
        PeerMessage message = MisbehavingPeerTest.permitRequest();
        System.out.println("message bytes: " + FrameCodec.encode(message).length);
        for (int round = 0; round < ROUNDS; round++) {
            long start = System.nanoTime();
            long count = 0;
            while (System.nanoTime() - start < TimeUnit.SECONDS.toNanos(1)) {
                window.acquire();
                sender.send(new HostId("entry-2"), message);
                count++;
            }
            System.out.println("round " + round + ": " + count + " messages in 1 s");
        }
        sender.stop();
        receiver.stop();
    }

    private static NetworkAddress freeAddress() throws IOException {
        return new NetworkAddress("127.0.0.1", TestHost.freePort());
    }

    private static NettyPeerTransport transport(
            String name, NetworkAddress own, NetworkAddress peer, PeerListener listener) {
        NettyPeerTransport transport = new NettyPeerTransport(
                new PeerTransportSettings(
                        new HostIdentity(new HostId(name), 1),
                        "benchmark",
                        own,
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(3),
                        Duration.ofSeconds(1),
                        PeerTransportSettings.DEFAULT_MAXIMUM_FRAME_BYTES),
                host -> Optional.of(peer),
                listener,
                InstantSource.system());
        transport.start();
        return transport;
    }

    private record Releasing(Semaphore window) implements PeerListener {
        @Override
        public void connected(HostIdentity peer) {}

        @Override
        public void unreachable(HostId peer) {
            System.out.println("unreachable: " + peer);
        }

        @Override
        public void received(HostIdentity sender, PeerMessage message) {
            window.release();
        }
    }
}
