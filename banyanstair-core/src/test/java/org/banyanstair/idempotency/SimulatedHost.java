package org.banyanstair.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import org.banyanstair.membership.Membership;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.placement.PlacementPolicy;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.reducer.Sequence;

/** One daemon incarnation in a {@link CallSimulation}: a tracker, the writer of one partition, and their membership. */
final class SimulatedHost {
    /** The attempt retention is short, so that duplicates arrive after the writer has evicted the attempt. */
    private static final ReducerSettings SETTINGS = new ReducerSettings(
            Duration.ofMillis(25),
            Duration.ofMinutes(30),
            Duration.ofSeconds(1),
            Duration.ofMillis(400),
            Duration.ofMillis(500),
            3,
            Duration.ofSeconds(8),
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            Duration.ofSeconds(3),
            Duration.ofSeconds(5),
            Duration.ofHours(1),
            PlacementPolicy.STANDARD);

    final HostIdentity identity;
    final Membership membership;
    final CallTracker tracker;
    final CallWriter writer;
    final Effects effects = new Effects();
    boolean paused;
    boolean dead;
    int nextOffset;

    SimulatedHost(HostIdentity identity) {
        this.identity = identity;
        this.membership = new Membership(identity);
        Sequence sequence = new Sequence();
        this.tracker = new CallTracker(membership, SETTINGS, sequence);
        this.writer = new CallWriter(CallSimulation.PARTITION, membership, SETTINGS, sequence);
    }

    boolean isRunning() {
        return !dead && !paused;
    }

    void togglePause() {
        paused = !paused;
    }

    void receive(HostIdentity sender, PeerMessage message, Instant now) {
        membership.markReachable(sender);
        if (message instanceof PeerMessage.CallSubmit submit) {
            writer.submit(sender.host(), submit, now, effects);
        } else if (message instanceof PeerMessage.CallOutcome outcome) {
            tracker.outcomeReceived(sender, outcome, now, effects);
        }
    }

    static HostIdentity nextRun(Map<HostId, SimulatedHost> hosts, HostId id) {
        SimulatedHost previous = hosts.get(id);
        return new HostIdentity(id, previous == null ? 1 : previous.identity.incarnation() + 1);
    }
}
