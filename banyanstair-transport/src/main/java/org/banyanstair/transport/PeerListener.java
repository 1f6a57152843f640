package org.banyanstair.transport;

import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;

/** Receives what happens on the connections to other hosts; called from the transport's threads, must not block. */
public interface PeerListener {
    /**
     * A peer can be reached, or has a new incarnation.
     *
     * @param peer the peer
     */
    void connected(HostIdentity peer);

    /**
     * A peer cannot be reached: its connection ended and a new one failed, or a message to it could not be sent.
     *
     * @param peer the peer
     */
    void unreachable(HostId peer);

    /**
     * A message came.
     *
     * @param sender who sent it
     * @param message the message; never a hello, ping or pong
     */
    void received(HostIdentity sender, PeerMessage message);
}
