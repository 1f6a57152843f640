package org.banyanstair.transport;

import java.time.Duration;
import java.util.concurrent.Semaphore;

import org.banyanstair.model.HostId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class NettyPeerTransportTest {
    /** Guards against messages that are reordered, lost or duplicated on healthy connections. */
    @Test
    void deliversThousandsInOrderBothWays() throws Exception {
        try (TestHost first = TestHost.withDefaultTimeouts("entry-1");
                TestHost second = TestHost.withDefaultTimeouts("entry-2")) {
            first.addAddressOf(second);
            first.transport.watch(second.id());
            second.listener.awaitEvent("connected entry-1#1");
            Semaphore window = new Semaphore(1_000);
            Thread sender = new Thread(() -> {
                for (int query = 0; query < 10_000; query++) {
                    window.acquireUninterruptibly();
                    first.send(second.id(), query);
                    second.send(first.id(), query);
                }
            });
            sender.start();
            for (int query = 0; query < 10_000; query++) {
                assertEquals(query, second.listener.awaitQuery());
                assertEquals(query, first.listener.awaitQuery());
                window.release();
            }
            assertEquals(1, first.transport.counters().connectionsOpened(), "one connection serves both directions");
            assertTrue(first.transport.counters().framesOut() > 10_000);
            assertEquals(0, first.transport.counters().droppedMessages());
        }
    }

    /** Guards against callbacks on the sender's own thread, and against a connection of a host to itself. */
    @Test
    void messageToSelfNeedsNoConnection() throws Exception {
        try (TestHost host = TestHost.withDefaultTimeouts("entry-1")) {
            for (int query = 0; query < 100; query++) {
                host.send(host.id(), query);
            }
            for (int query = 0; query < 100; query++) {
                assertEquals(query, host.listener.awaitQuery());
            }
            assertEquals(0, host.transport.counters().connectionsOpened());
        }
    }

    /** Guards against a restart of a peer that is not reported, and against messages of its previous process. */
    @Test
    void reportsNewIncarnationAndIgnoresOldOne() throws Exception {
        try (TestHost first = TestHost.withShortTimeouts("entry-1")) {
            TestHost second = TestHost.withShortTimeouts("entry-2");
            first.addAddressOf(second);
            first.transport.watch(second.id());
            first.listener.awaitEvent("connected entry-2#1");
            Duration heartbeat = Duration.ofMillis(100);
            Duration silence = Duration.ofMillis(500);
            int oldPort = TestHost.freePort();
            try (TestHost old = new TestHost("entry-2", 1, oldPort, heartbeat, silence)) {
                old.addAddressOf(first);
                old.send(first.id(), 1);
                assertEquals(1, first.listener.awaitQuery());
                second.close();
                try (TestHost restarted = new TestHost("entry-2", 2, second.address.port(), heartbeat, silence)) {
                    restarted.addAddressOf(first);
                    restarted.send(first.id(), 2);
                    assertEquals(2, first.listener.awaitQuery());
                    old.send(first.id(), 3);
                    old.send(first.id(), 4);
                    restarted.send(first.id(), 5);
                    assertEquals(5, first.listener.awaitQuery());
                    TestHost.await(
                            () -> first.transport.counters().rejectedHandshakes() > 0,
                            "connection of the old incarnation was not rejected");
                    assertTrue(first.listener.messages.isEmpty(), "message of the old incarnation delivered");
                    assertTrue(first.listener.events.contains("connected entry-2#2"));
                }
            }
        }
    }

    /** Guards against hosts that reject each other's connection when both connect at the same time. */
    @Test
    void hostsThatConnectSimultaneouslyExchangeMessages() throws Exception {
        try (TestHost first = TestHost.withDefaultTimeouts("entry-1");
                TestHost second = TestHost.withDefaultTimeouts("entry-2")) {
            first.addAddressOf(second);
            second.addAddressOf(first);
            first.send(second.id(), 1);
            second.send(first.id(), 2);
            assertEquals(1, second.listener.awaitQuery());
            assertEquals(2, first.listener.awaitQuery());
        }
    }

    /** Guards against a sender that waits indefinitely for a peer that is no longer on the host list. */
    @Test
    void peerWithoutAddressIsUnreachable() throws Exception {
        try (TestHost host = TestHost.withDefaultTimeouts("entry-1")) {
            host.send(new HostId("entry-9"), 1);
            host.listener.awaitEvent("unreachable entry-9");
            assertEquals(1, host.transport.counters().droppedMessages());
        }
    }

    /** Guards against idle connections that accumulate, and against closing a watched one. */
    @Test
    void closesIdleConnectionUnlessWatched() throws Exception {
        try (TestHost first = TestHost.withShortTimeouts("entry-1");
                TestHost second = TestHost.withShortTimeouts("entry-2")) {
            first.addAddressOf(second);
            second.addAddressOf(first);
            first.transport.watch(second.id());
            first.listener.awaitEvent("connected entry-2#1");
            first.now = first.now.plusSeconds(61);
            second.now = second.now.plusSeconds(61);
            Thread.sleep(400);
            assertEquals(0, first.transport.counters().connectionsClosed(), "a watched connection was closed");
            first.transport.unwatch(second.id());
            TestHost.await(
                    () -> first.transport.counters().connectionsClosed() == 1, "the idle connection was not closed");
            Thread.sleep(300);
            assertEquals(1, second.transport.counters().connectionsOpened(), "the peer reopened the idle connection");
            first.send(second.id(), 7);
            assertEquals(7, second.listener.awaitQuery());
            assertTrue(first.listener.events.isEmpty(), "closing an idle connection must not be reported");
        }
    }
}
