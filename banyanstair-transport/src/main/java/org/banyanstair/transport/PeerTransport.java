package org.banyanstair.transport;

import org.banyanstair.model.HostId;
import org.banyanstair.peer.PeerMessage;

/** Sends messages to other entry hosts. Implementations are safe for use by several threads. */
public interface PeerTransport {
    /** Binds the peer address and accepts connections. */
    void start();

    /** Closes all connections. */
    void stop();

    /**
     * Sends a message, over a new connection if there is none. Does not block; a message that cannot be sent is
     * dropped and the listener learns that the peer is unreachable.
     *
     * @param peer the receiver
     * @param message the message
     */
    void send(HostId peer, PeerMessage message);

    /**
     * Keeps a connection with heartbeats to a peer even when there is nothing to send.
     *
     * @param peer the peer
     */
    void watch(HostId peer);

    /**
     * Ends {@link #watch}.
     *
     * @param peer the peer
     */
    void unwatch(HostId peer);
}
