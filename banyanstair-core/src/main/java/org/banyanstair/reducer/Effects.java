package org.banyanstair.reducer;

import java.util.ArrayList;
import java.util.List;

import org.banyanstair.model.HostId;
import org.banyanstair.peer.PeerMessage;

/** Collects the effects of one event. Not safe for use by several threads. */
public final class Effects {
    private List<Effect> effects = new ArrayList<>();

    /**
     * Adds an effect.
     *
     * @param effect the effect
     */
    public void add(Effect effect) {
        effects.add(effect);
    }

    /**
     * Adds a message to a peer.
     *
     * @param peer the receiver
     * @param message the message
     */
    public void send(HostId peer, PeerMessage message) {
        effects.add(new Effect.SendToPeer(peer, message));
    }

    /**
     * Adds a line for the log of the daemon.
     *
     * @param notice what happened
     */
    public void report(Notice notice) {
        effects.add(new Effect.Report(notice));
    }

    /**
     * Returns and removes the collected effects.
     *
     * @return the effects in order
     */
    public List<Effect> drain() {
        List<Effect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }
}
