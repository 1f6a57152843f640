package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerBroadcast;
import org.banyanstair.peer.PeerMessage;

/**
 * Sends messages to peers: directly in a small deployment, in bundles over relays in a large one.
 *
 * <p>The number of direct messages grows with the square of the number of hosts. Over relays, a broadcast message
 * crosses at most three connections, bundled with those of other hosts.
 */
final class PeerMessenger {
    /** Time for which messages are batched; several batches fit into the time until a request's first event is due. */
    static final Duration BUNDLE_INTERVAL = Duration.ofMillis(100);

    /**
     * Longest time between two messages of a relay to its members and to other relays; it sends a heartbeat if there is
     * nothing else.
     */
    private static final Duration RELAY_HEARTBEAT_INTERVAL = Duration.ofMillis(200);

    /**
     * Hop limit of a message between two hosts: to a relay, to the other group's relay, to the target, and one in
     * reserve.
     */
    private static final int MAXIMUM_HOPS = 4;

    private final EventContext context;
    private final HostIdentity self;
    private final PeerTable peers;
    private final RelayGroups groups;
    private final Map<HostId, PeerBroadcast> newestBroadcasts = new HashMap<>();
    private final Set<HostId> connectedPeers = new HashSet<>();
    private List<PeerMessage> outgoing = new ArrayList<>();
    private List<PeerBroadcast> fromMembers = new ArrayList<>();
    private List<PeerBroadcast> fromRelays = new ArrayList<>();
    private long sequence;
    private Instant nextBundleAt = Instant.MIN;
    private Instant nextHeartbeatAt = Instant.MIN;

    PeerMessenger(EventContext context, ForwardingSettings settings, PeerTable peers) {
        this.context = context;
        this.self = settings.identity();
        this.peers = peers;
        this.groups = new RelayGroups(settings.announcement(), peers);
    }

    void broadcast(PeerMessage message) {
        if (peers.isLargeDeployment()) {
            outgoing.add(message);
        } else {
            peers.all().forEach(host -> context.emit(new ForwardingEffect.SendToPeer(host, message)));
        }
    }

    /** Sends a message to one peer, over relays if there is no direct connection. */
    void send(HostId target, PeerMessage message) {
        if (!peers.isLargeDeployment() || connectedPeers.contains(target)) {
            context.emit(new ForwardingEffect.SendToPeer(target, message));
        } else {
            route(new PeerMessage.Routed(self, target, MAXIMUM_HOPS, message));
        }
    }

    /** Relays a message that is addressed to another host. */
    void relay(PeerMessage.Routed message) {
        route(new PeerMessage.Routed(message.origin(), message.target(), message.hops() - 1, message.message()));
    }

    private void route(PeerMessage.Routed message) {
        HostId target = message.target();
        Optional<HostId> next = Optional.of(target);
        if (message.hops() > 1 && !connectedPeers.contains(target)) {
            if (!groups.isRelay()) {
                next = groups.relayOf(self.host());
            } else if (!groups.isOwnGroup(target)) {
                next = groups.relayOf(target);
            }
        }
        context.emit(new ForwardingEffect.SendToPeer(next.orElse(target), message));
    }

    /** Accepts a bundle and returns the broadcasts in it that have not already arrived by another path. */
    List<PeerBroadcast> receive(HostId sender, PeerMessage.Bundle bundle) {
        List<PeerBroadcast> newBroadcasts = new ArrayList<>();
        for (PeerBroadcast broadcast : bundle.news()) {
            PeerBroadcast known = newestBroadcasts.get(broadcast.origin().host());
            if (!broadcast.origin().host().equals(self.host()) && (known == null || isNewer(broadcast, known))) {
                newestBroadcasts.put(
                        broadcast.origin().host(),
                        new PeerBroadcast(broadcast.origin(), broadcast.sequence(), List.of()));
                newBroadcasts.add(broadcast);
            }
        }
        if (bundle.passOn()) {
            (groups.isOwnGroup(sender) ? fromMembers : fromRelays).addAll(newBroadcasts);
        }
        return newBroadcasts;
    }

    private static boolean isNewer(PeerBroadcast broadcast, PeerBroadcast known) {
        long incarnation = broadcast.origin().incarnation();
        return incarnation > known.origin().incarnation()
                || incarnation == known.origin().incarnation() && broadcast.sequence() > known.sequence();
    }

    /** Records that a message arrived directly from a peer. */
    void recordContact(HostId sender) {
        groups.recordContact(sender, context.now());
    }

    void tick() {
        if (!peers.isLargeDeployment()) {
            updateConnections(peers.all());
            fromMembers.clear();
            fromRelays.clear();
            return;
        }
        if (context.now().isBefore(nextBundleAt)) {
            return;
        }
        nextBundleAt = context.now().plus(BUNDLE_INTERVAL);
        groups.refresh(context.now());
        List<PeerBroadcast> ownBroadcasts =
                outgoing.isEmpty() ? List.of() : List.of(new PeerBroadcast(self, ++sequence, outgoing));
        outgoing = new ArrayList<>();
        List<HostId> members = groups.otherMembers(context.now());
        List<HostId> relays = groups.otherRelays();
        List<PeerBroadcast> forRelays = new ArrayList<>(fromMembers);
        List<PeerBroadcast> forMembers = new ArrayList<>(fromMembers);
        forMembers.addAll(fromRelays);
        fromMembers = new ArrayList<>();
        fromRelays = new ArrayList<>();
        boolean heartbeatDue = false;
        if (groups.isRelay()) {
            forRelays.addAll(ownBroadcasts);
            forMembers.addAll(ownBroadcasts);
            heartbeatDue = !context.now().isBefore(nextHeartbeatAt);
            List<HostId> all = new ArrayList<>(members);
            all.addAll(relays);
            updateConnections(all);
        } else {
            Optional<HostId> relay = groups.relayOf(self.host());
            updateConnections(relay.stream().toList());
            if (!ownBroadcasts.isEmpty()) {
                relay.ifPresent(host -> context.emit(
                        new ForwardingEffect.SendToPeer(host, new PeerMessage.Bundle(ownBroadcasts, true))));
            }
        }
        if (heartbeatDue || !forRelays.isEmpty()) {
            nextHeartbeatAt = context.now().plus(RELAY_HEARTBEAT_INTERVAL);
        }
        send(relays, new PeerMessage.Bundle(forRelays, true), heartbeatDue);
        send(members, new PeerMessage.Bundle(forMembers, false), heartbeatDue);
    }

    private void send(List<HostId> targets, PeerMessage.Bundle bundle, boolean heartbeatDue) {
        if (heartbeatDue || !bundle.news().isEmpty()) {
            targets.forEach(host -> context.emit(new ForwardingEffect.SendToPeer(host, bundle)));
        }
    }

    private void updateConnections(Collection<HostId> required) {
        for (HostId host : required) {
            if (connectedPeers.add(host)) {
                context.emit(new ForwardingEffect.OpenPeerConnection(host));
            }
        }
        List<HostId> obsolete =
                connectedPeers.stream().filter(host -> !required.contains(host)).toList();
        for (HostId host : obsolete) {
            connectedPeers.remove(host);
            context.emit(new ForwardingEffect.ClosePeerConnection(host));
        }
    }
}
