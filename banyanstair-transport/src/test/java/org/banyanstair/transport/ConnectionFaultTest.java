package org.banyanstair.transport;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ConnectionFaultTest {
    /** Guards against waiting on a permanently stalled connection although a new one would work. */
    @ParameterizedTest
    @ValueSource(ints = {300, 500, 700})
    void replacesStalledConnectionWithoutReport(int peerTimeoutMilliseconds) throws Exception {
        try (TestHost first = TestHost.withShortTimeouts("entry-1");
                TestHost second = new TestHost(
                        "entry-2",
                        1,
                        TestHost.freePort(),
                        Duration.ofMillis(100),
                        Duration.ofMillis(peerTimeoutMilliseconds));
                TcpRelay relay = new TcpRelay(second.address.port())) {
            first.addresses.put(second.id(), relay.address());
            first.send(second.id(), 1);
            assertEquals(1, second.listener.awaitQuery());
            first.listener.awaitEvent("connected entry-2#1");
            relay.stall(false);
            first.send(second.id(), 2);
            Thread.sleep(50);
            // After 45 s without use, only the heartbeat timeout can cause a new connection.
            first.now = first.now.plusSeconds(45);
            TestHost.await(() -> first.transport.counters().connectionsOpened() == 2, "no new connection was opened");
            first.send(second.id(), 3);
            assertEquals(3, second.listener.awaitQuery());
            second.send(first.id(), 4);
            assertEquals(4, first.listener.awaitQuery());
            assertTrue(first.listener.events.isEmpty(), "replacing a connection must not be reported");
        }
    }

    /**
     * Guards against reporting a peer before a new connection was tried, and against not reporting it if that stalls
     * too.
     */
    @Test
    void reportsPeerWhoseNewConnectionStallsToo() throws Exception {
        try (TestHost first = TestHost.withShortTimeouts("entry-1");
                TestHost second = TestHost.withShortTimeouts("entry-2");
                TcpRelay relay = new TcpRelay(second.address.port())) {
            first.addresses.put(second.id(), relay.address());
            first.transport.watch(second.id());
            first.listener.awaitEvent("connected entry-2#1");
            first.now = first.now.plusSeconds(45);
            relay.stall(true);
            first.listener.awaitEvent("unreachable entry-2");
            assertTrue(first.transport.counters().connectionsOpened() >= 2, "no new connection was tried");
            assertNull(first.listener.events.poll(1, TimeUnit.SECONDS), "the same failure is reported once");
            relay.stall(false);
            first.listener.awaitEvent("connected entry-2#1");
        }
    }

    /** Guards against a lost connection that is not re-established although its peer is alive. */
    @Test
    void reconnectsAfterConnectionLoss() throws Exception {
        try (TestHost first = TestHost.withDefaultTimeouts("entry-1");
                TestHost second = TestHost.withDefaultTimeouts("entry-2");
                TcpRelay relay = new TcpRelay(second.address.port())) {
            first.addresses.put(second.id(), relay.address());
            first.send(second.id(), 1);
            assertEquals(1, second.listener.awaitQuery());
            first.listener.awaitEvent("connected entry-2#1");
            relay.closeConnections();
            TestHost.await(() -> first.transport.counters().connectionsOpened() == 2, "no new connection was opened");
            first.send(second.id(), 2);
            assertEquals(2, second.listener.awaitQuery());
            assertTrue(first.listener.events.isEmpty());
        }
    }

    /** Guards against a stopped peer that is not reported because no messages were being sent. */
    @Test
    void reportsStoppedPeer() throws Exception {
        try (TestHost first = TestHost.withShortTimeouts("entry-1")) {
            TestHost second = TestHost.withShortTimeouts("entry-2");
            first.addAddressOf(second);
            first.send(second.id(), 1);
            first.listener.awaitEvent("connected entry-2#1");
            assertEquals(1, second.listener.awaitQuery());
            second.close();
            first.listener.awaitEvent("unreachable entry-2");
            first.send(second.id(), 2);
            first.listener.awaitEvent("unreachable entry-2");
        }
    }
}
