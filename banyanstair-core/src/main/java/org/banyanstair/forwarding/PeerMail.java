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
 * Sends messages to peers: to each one itself in a small deployment, in bundles over relays in a large one.
 *
 * <p>Answers load of many hosts: messages from each to each grow with the square of their number, while with relays a
 * message for all crosses three connections at most, together with those of other hosts.
 */
final class PeerMail {
    /** Time in which messages are gathered; a request's first event is due after several of these. */
    static final Duration BUNDLE_INTERVAL = Duration.ofMillis(100);

    /** Longest time between two messages of a relay to those that it serves. */
    private static final Duration RELAY_SIGN_INTERVAL = Duration.ofMillis(200);

    /** Connections of a message between two hosts: to a relay, to the other group's, to the target, and one to spare. */
    private static final int LONGEST_WAY = 4;

    private final Turn turn;
    private final HostIdentity self;
    private final PeerTable peers;
    private final RelayGroups groups;
    private final Map<HostId, PeerBroadcast> newest = new HashMap<>();
    private final Set<HostId> partners = new HashSet<>();
    private List<PeerMessage> own = new ArrayList<>();
    private List<PeerBroadcast> fromMembers = new ArrayList<>();
    private List<PeerBroadcast> fromRelays = new ArrayList<>();
    private long sequence;
    private Instant nextBundleAt = Instant.MIN;
    private Instant nextSignAt = Instant.MIN;

    PeerMail(Turn turn, ForwardingSettings settings, PeerTable peers) {
        this.turn = turn;
        this.self = settings.identity();
        this.peers = peers;
        this.groups = new RelayGroups(settings.announcement(), peers);
    }

    /** Sends a message to all peers. */
    void sendToAll(PeerMessage message) {
        if (peers.isLarge()) {
            own.add(message);
        } else {
            peers.all().forEach(host -> turn.emit(new ForwardingEffect.SendToPeer(host, message)));
        }
    }

    /** Sends a message to one peer. */
    void send(HostId target, PeerMessage message) {
        if (!peers.isLarge() || partners.contains(target)) {
            turn.emit(new ForwardingEffect.SendToPeer(target, message));
        } else {
            route(new PeerMessage.Routed(self, target, LONGEST_WAY, message));
        }
    }

    /** Passes a message on that is for another host. */
    void passOn(PeerMessage.Routed message) {
        route(new PeerMessage.Routed(message.origin(), message.target(), message.hops() - 1, message.message()));
    }

    private void route(PeerMessage.Routed message) {
        HostId target = message.target();
        Optional<HostId> next = Optional.of(target);
        if (message.hops() > 1 && !partners.contains(target)) {
            if (!groups.isRelay()) {
                next = groups.relayOf(self.host());
            } else if (!groups.isOwnGroup(target)) {
                next = groups.relayOf(target);
            }
        }
        turn.emit(new ForwardingEffect.SendToPeer(next.orElse(target), message));
    }

    /** Takes a bundle; returns the news in it that have not come another way. */
    List<PeerBroadcast> received(HostId sender, PeerMessage.Bundle bundle) {
        List<PeerBroadcast> fresh = new ArrayList<>();
        for (PeerBroadcast news : bundle.news()) {
            PeerBroadcast known = newest.get(news.origin().host());
            if (!news.origin().host().equals(self.host()) && (known == null || isNewer(news, known))) {
                newest.put(news.origin().host(), new PeerBroadcast(news.origin(), news.sequence(), List.of()));
                fresh.add(news);
            }
        }
        if (bundle.passOn()) {
            (groups.isOwnGroup(sender) ? fromMembers : fromRelays).addAll(fresh);
        }
        return fresh;
    }

    private static boolean isNewer(PeerBroadcast news, PeerBroadcast known) {
        long incarnation = news.origin().incarnation();
        return incarnation > known.origin().incarnation()
                || incarnation == known.origin().incarnation() && news.sequence() > known.sequence();
    }

    /** A message came from a peer itself. */
    void heard(HostId sender) {
        groups.heard(sender, turn.now());
    }

    void tick() {
        if (!peers.isLarge()) {
            keepConnections(peers.all());
            fromMembers.clear();
            fromRelays.clear();
            return;
        }
        if (turn.now().isBefore(nextBundleAt)) {
            return;
        }
        nextBundleAt = turn.now().plus(BUNDLE_INTERVAL);
        groups.refresh(turn.now());
        List<PeerBroadcast> mine = own.isEmpty() ? List.of() : List.of(new PeerBroadcast(self, ++sequence, own));
        own = new ArrayList<>();
        List<HostId> members = groups.ownMembers(turn.now());
        List<HostId> relays = groups.otherRelays();
        List<PeerBroadcast> forRelays = new ArrayList<>(fromMembers);
        List<PeerBroadcast> forMembers = new ArrayList<>(fromMembers);
        forMembers.addAll(fromRelays);
        fromMembers = new ArrayList<>();
        fromRelays = new ArrayList<>();
        boolean signs = false;
        if (groups.isRelay()) {
            forRelays.addAll(mine);
            forMembers.addAll(mine);
            signs = !turn.now().isBefore(nextSignAt);
            List<HostId> all = new ArrayList<>(members);
            all.addAll(relays);
            keepConnections(all);
        } else {
            Optional<HostId> relay = groups.relayOf(self.host());
            keepConnections(relay.stream().toList());
            if (!mine.isEmpty()) {
                relay.ifPresent(
                        host -> turn.emit(new ForwardingEffect.SendToPeer(host, new PeerMessage.Bundle(mine, true))));
            }
        }
        if (signs || !forRelays.isEmpty()) {
            nextSignAt = turn.now().plus(RELAY_SIGN_INTERVAL);
        }
        send(relays, new PeerMessage.Bundle(forRelays, true), signs);
        send(members, new PeerMessage.Bundle(forMembers, false), signs);
    }

    private void send(List<HostId> targets, PeerMessage.Bundle bundle, boolean sign) {
        if (sign || !bundle.news().isEmpty()) {
            targets.forEach(host -> turn.emit(new ForwardingEffect.SendToPeer(host, bundle)));
        }
    }

    private void keepConnections(Collection<HostId> wanted) {
        for (HostId host : wanted) {
            if (partners.add(host)) {
                turn.emit(new ForwardingEffect.OpenPeerConnection(host));
            }
        }
        List<HostId> unwanted =
                partners.stream().filter(host -> !wanted.contains(host)).toList();
        for (HostId host : unwanted) {
            partners.remove(host);
            turn.emit(new ForwardingEffect.ClosePeerConnection(host));
        }
    }
}
