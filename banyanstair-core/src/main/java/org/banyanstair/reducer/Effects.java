package org.banyanstair.reducer;

import java.util.ArrayList;
import java.util.List;

import org.banyanstair.model.HostId;
import org.banyanstair.peer.PeerMessage;

/** Collects the effects of one event. Not thread-safe. */
public final class Effects {
    private List<Effect> effects = new ArrayList<>();

    /** Adds an effect. */
    public void add(Effect effect) {
        effects.add(effect);
    }

    /** Adds the sending of a message to a peer, which may be this host. */
    public void send(HostId peer, PeerMessage message) {
        effects.add(new Effect.SendToPeer(peer, message));
    }

    /** Adds a line for the log file of the daemon. */
    public void report(Notice notice) {
        effects.add(new Effect.Report(notice));
    }

    /** Returns the collected effects in order and removes them. */
    public List<Effect> drain() {
        List<Effect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }
}
