package org.banyanstair.peer;

import java.util.List;

import org.banyanstair.model.HostIdentity;

/**
 * Messages of one host for all others, as relays pass them on.
 *
 * @param origin the host that they are from
 * @param sequence number that grows with each news of a run of that host
 * @param messages the messages, in order
 */
public record PeerBroadcast(HostIdentity origin, long sequence, List<PeerMessage> messages) {
    /** Copies the list. */
    public PeerBroadcast {
        messages = List.copyOf(messages);
    }
}
