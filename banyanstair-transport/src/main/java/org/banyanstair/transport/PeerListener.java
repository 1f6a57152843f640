package org.banyanstair.transport;

import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;

/** Receives messages and connection events of peers. Called on the transport's threads, must not block. */
public interface PeerListener {
    /** Called when a peer becomes reachable or has restarted with a new incarnation. */
    void connected(HostIdentity peer);

    /**
     * Called when a peer is unreachable: its connection closed and reconnecting failed, or a message to it could not be
     * sent.
     */
    void unreachable(HostId peer);

    /**
     * Called when a message arrives.
     *
     * @param message the message; never a hello, ping or pong
     */
    void received(HostIdentity sender, PeerMessage message);
}
