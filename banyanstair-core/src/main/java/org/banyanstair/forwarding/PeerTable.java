package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.ownership.RendezvousHash;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.platform.Topic;

/** The other entry hosts and when they were last heard. */
final class PeerTable {
    /** Shortest time between two states that a host sends to its peers; each peer hears it three times a second. */
    private static final Duration SHORTEST_STATE_INTERVAL = Duration.ofMillis(300);

    /** Share of an interval that each peer adds, so that a host sends no more than about 140 states a second. */
    private static final Duration STATE_INTERVAL_PER_PEER = Duration.ofMillis(7);

    /** Longest such time; three of them fit into the users' limit for callers to be sent to other hosts. */
    private static final Duration LONGEST_STATE_INTERVAL = Duration.ofMillis(900);

    /** States that may be missing in a row before a host counts as not live. */
    private static final int MISSED_STATES = 3;

    /** Added to them for states that are late. */
    private static final Duration STATE_DELAY = Duration.ofMillis(200);

    /** Silence after which a host is forgotten for the question whether most hosts are heard. */
    private static final Duration GONE_LIMIT = Duration.ofSeconds(30);

    private final Turn turn;
    private final HostAnnouncement self;
    private final Map<HostId, Peer> peers = new TreeMap<>();
    private Instant since = Instant.MAX;

    /** What is known of a peer. */
    static final class Peer {
        private HostAnnouncement announcement;
        private Instant heardAt = Instant.MIN;
        private Instant knownSince;
        private boolean leaving;
        private long configurationOffset = -1;
        private long endpointsOffset = -1;

        HostAnnouncement announcement() {
            return announcement;
        }

        long offset(Topic topic) {
            return topic == Topic.CONFIGURATION ? configurationOffset : endpointsOffset;
        }
    }

    PeerTable(Turn turn, HostAnnouncement self) {
        this.turn = turn;
        this.self = self;
    }

    /** Sends a message to all peers. */
    void sendToAll(PeerMessage message) {
        peers.keySet().forEach(host -> turn.emit(new ForwardingEffect.ToPeer(host, message)));
    }

    /** Returns the time between two states that this host sends, which grows with the number of peers. */
    Duration stateInterval() {
        Duration interval = SHORTEST_STATE_INTERVAL.plus(STATE_INTERVAL_PER_PEER.multipliedBy(peers.size()));
        return interval.compareTo(LONGEST_STATE_INTERVAL) < 0 ? interval : LONGEST_STATE_INTERVAL;
    }

    /** Returns the silence after which callers are no longer sent to a host. */
    Duration liveLimit() {
        return stateInterval().multipliedBy(MISSED_STATES).plus(STATE_DELAY);
    }

    /** Takes an announcement from the log or a peer; returns whether its address is news. */
    boolean announced(HostAnnouncement announcement, Instant now) {
        if (announcement.host().equals(self.host())) {
            return false;
        }
        Peer peer = peers.get(announcement.host());
        if (peer == null) {
            peer = new Peer();
            peer.knownSince = now;
            peers.put(announcement.host(), peer);
        } else if (peer.announcement.incarnation() > announcement.incarnation()
                || peer.announcement.equals(announcement)) {
            return false;
        }
        if (peer.announcement != null && peer.announcement.incarnation() != announcement.incarnation()) {
            peer.leaving = false;
        }
        peer.announcement = announcement;
        return true;
    }

    void heard(HostId host, Instant now) {
        Peer peer = peers.get(host);
        if (peer != null) {
            peer.heardAt = now;
        }
    }

    void state(PeerMessage.HostState state, Instant now) {
        Peer peer = peers.get(state.announcement().host());
        if (peer != null
                && peer.announcement.incarnation() == state.announcement().incarnation()) {
            peer.heardAt = now;
            peer.leaving = state.leaving();
            peer.configurationOffset = state.configurationOffset();
            peer.endpointsOffset = state.endpointsOffset();
        }
    }

    Optional<Peer> find(HostId host) {
        return Optional.ofNullable(peers.get(host));
    }

    Collection<HostId> all() {
        return peers.keySet();
    }

    /** Returns the host, among those that live, that does a task for all of them, such as reading a topic. */
    boolean isFirst(String task, Instant now) {
        return RendezvousHash.first(task, live(now)).equals(Optional.of(self.host()));
    }

    int size() {
        return peers.size();
    }

    boolean isLive(HostId host, Instant now) {
        Peer peer = peers.get(host);
        return peer != null && !peer.leaving && now.isBefore(plus(peer.heardAt, liveLimit()));
    }

    /** Returns this host and the peers that were heard lately and do not leave. */
    List<HostId> live(Instant now) {
        List<HostId> result = new ArrayList<>();
        result.add(self.host());
        peers.keySet().stream().filter(host -> isLive(host, now)).forEach(result::add);
        return result;
    }

    /** Returns how long a host has been silent; from when it was first known if it was never heard. */
    Duration silence(HostId host, Instant now) {
        if (since.equals(Instant.MAX)) {
            since = now;
        }
        Peer peer = peers.get(host);
        Instant start = peer == null ? since : peer.heardAt.equals(Instant.MIN) ? peer.knownSince : peer.heardAt;
        return Duration.between(start, now);
    }

    /** Returns whether this host hears at least half of the peers that lived lately, so that it is not cut off itself. */
    boolean hearsMost(Instant now) {
        int heard = 0;
        int expected = 0;
        for (Map.Entry<HostId, Peer> entry : peers.entrySet()) {
            if (silence(entry.getKey(), now).compareTo(GONE_LIMIT) < 0) {
                expected++;
                heard += now.isBefore(plus(entry.getValue().heardAt, liveLimit())) ? 1 : 0;
            }
        }
        return heard * 2 >= expected;
    }

    /** Returns the addresses that callers may use, this host first unless it leaves. */
    List<NetworkAddress> callerAddresses(boolean selfLeaves, Instant now) {
        List<NetworkAddress> result = new ArrayList<>();
        if (!selfLeaves) {
            result.add(self.callers());
        }
        peers.forEach((host, peer) -> {
            if (isLive(host, now)) {
                result.add(peer.announcement.callers());
            }
        });
        if (result.isEmpty()) {
            result.add(self.callers());
        }
        return result;
    }

    private static Instant plus(Instant instant, Duration duration) {
        return instant.equals(Instant.MIN) ? instant : instant.plus(duration);
    }
}
