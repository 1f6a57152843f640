package org.banyanstair.transport;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

/** Records the callbacks of a transport, so that a test can wait for them. */
final class RecordingListener implements PeerListener {
    final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();

    @Override
    public void connected(HostIdentity peer) {
        events.add("connected " + peer);
    }

    @Override
    public void unreachable(HostId peer) {
        events.add("unreachable " + peer);
    }

    @Override
    public void received(HostIdentity sender, PeerMessage message) {
        messages.add(message);
    }

    void awaitEvent(String expected) throws InterruptedException {
        assertEquals(expected, events.poll(5, TimeUnit.SECONDS));
    }

    /** Waits for a status request and returns its query number. */
    long awaitQuery() throws InterruptedException {
        PeerMessage message = messages.poll(5, TimeUnit.SECONDS);
        assertNotNull(message, "no message within 5 s");
        return ((PeerMessage.StatusRequest) message).query();
    }
}
