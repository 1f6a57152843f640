package org.banyanstair.transport;

import org.banyanstair.model.HostId;
import org.banyanstair.peer.PeerMessage;

/** Sends messages to other entry hosts. Implementations are thread-safe. */
public interface PeerTransport {
    /** Binds the peer address and starts to accept connections. */
    void start();

    /** Closes all connections. */
    void stop();

    /**
     * Sends a message, over a new connection if there is none. Does not block. A message that cannot be sent is
     * dropped, and the listener is notified that the peer is unreachable.
     */
    void send(HostId peer, PeerMessage message);

    /** Keeps a connection with heartbeats to a peer open, even if there is nothing to send. */
    void watch(HostId peer);

    /** Ends {@link #watch}. */
    void unwatch(HostId peer);
}
