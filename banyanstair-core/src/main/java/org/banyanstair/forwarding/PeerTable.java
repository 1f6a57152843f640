package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.PeerMessage;

/** The other entry hosts and when they were last heard. */
final class PeerTable {
    /** Silence after which callers are no longer sent to a host; a few intervals between its messages. */
    static final Duration LIVE_LIMIT = Duration.ofMillis(1200);

    /** Silence after which a host is forgotten for the question whether most hosts are heard. */
    private static final Duration GONE_LIMIT = Duration.ofSeconds(30);

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

    PeerTable(HostAnnouncement self) {
        this.self = self;
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

    int size() {
        return peers.size();
    }

    boolean isLive(HostId host, Instant now) {
        Peer peer = peers.get(host);
        return peer != null && !peer.leaving && now.isBefore(plus(peer.heardAt, LIVE_LIMIT));
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
                heard += now.isBefore(plus(entry.getValue().heardAt, LIVE_LIMIT)) ? 1 : 0;
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
