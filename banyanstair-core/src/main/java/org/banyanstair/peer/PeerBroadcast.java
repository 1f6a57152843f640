package org.banyanstair.peer;

import java.util.List;

import org.banyanstair.model.HostIdentity;

/**
 * Messages of one host to all other hosts, forwarded by relays.
 *
 * @param origin host that sent the messages
 * @param sequence number that increases with each broadcast of this incarnation of the host
 * @param messages messages in sending order
 */
public record PeerBroadcast(HostIdentity origin, long sequence, List<PeerMessage> messages) {
    /** Copies the list. */
    public PeerBroadcast {
        messages = List.copyOf(messages);
    }
}
