package org.banyanstair.transport;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.banyanstair.peer.PeerMessage;
import org.banyanstair.transport.internal.FrameCodec;

/** Measures messages per second over one loopback connection, from one sending thread; ends after a few seconds. */
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
        PeerMessage message = MisbehavingPeerTest.permitRequest();
        System.out.println("message bytes: " + FrameCodec.encode(message).length);
        try (TestHost sender = TestHost.withDefaultTimeouts("entry-1");
                TestHost receiver = TestHost.withDefaultTimeouts("entry-2")) {
            sender.addAddressOf(receiver);
            Semaphore window = new Semaphore(WINDOW);
            Thread consumer = new Thread(() -> consume(receiver, window));
            consumer.start();
            for (int round = 0; round < ROUNDS; round++) {
                long start = System.nanoTime();
                long count = 0;
                while (System.nanoTime() - start < TimeUnit.SECONDS.toNanos(1)) {
                    window.acquire();
                    sender.transport.send(receiver.id(), message);
                    count++;
                }
                System.out.println("messages in 1 s: " + count);
            }
            consumer.interrupt();
        }
    }

    private static void consume(TestHost receiver, Semaphore window) {
        try {
            while (true) {
                receiver.listener.messages.take();
                window.release();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
