package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.banyanstair.external.Topic;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.ownership.RendezvousHash;
import org.banyanstair.peer.PeerMessage;

/** The other entry hosts and when they were last heard. */
final class PeerTable {
    /** Shortest time between two states that a host sends to its peers; each peer hears it three times a second. */
    private static final Duration MINIMUM_STATE_INTERVAL = Duration.ofMillis(300);

    /** Added to it for each peer, so that a host sends no more than about forty states a second. */
    private static final Duration STATE_INTERVAL_PER_PEER = Duration.ofMillis(7);

    /** The same time over relays; a new relay is found between two of them. */
    private static final Duration RELAYED_STATE_INTERVAL = Duration.ofMillis(500);

    /** Peers up to which each host sends to each; beyond, messages go over relays. */
    private static final int MAXIMUM_DIRECT_PEERS = 16;

    /** States that may be missing in a row before a host counts as not live. */
    private static final int MAXIMUM_MISSED_STATES = 3;

    /** Added to them for states that are late. */
    private static final Duration STATE_DELAY = Duration.ofMillis(200);

    /** Silence after which a host is forgotten for the question whether most hosts are heard. */
    private static final Duration FORGET_AFTER = Duration.ofSeconds(30);

    /** Share of the strongest host's cores that a host needs to do work for others. */
    private static final double STRONG_CORE_SHARE = 0.7;

    /** Hosts of a large deployment that read the log for all, so that two may lose it at once. */
    private static final int MAXIMUM_LOG_READERS = 3;

    /** Spreads the answers that name a host; has no divisor in common with a thousand. */
    private static final int ADVERTISING_STEP = 619;

    /** Name by which hosts are ranked for the use of the log. */
    private static final String LOG_RANKING_KEY = "log";

    private final HostAnnouncement self;
    private final Map<HostId, Peer> peers = new TreeMap<>();
    private Instant startedAt = Instant.MAX;
    private long addressQueries;

    /** What is known of a peer. */
    static final class Peer {
        private HostAnnouncement announcement;
        private Instant heardAt = Instant.MIN;
        private Instant knownSince;
        private boolean leaving;
        private boolean reachesLog;
        private long configurationOffset = -1;
        private long endpointsOffset = -1;

        HostAnnouncement announcement() {
            return announcement;
        }

        boolean isLiveSince(Instant earliest) {
            return !leaving && heardAt.isAfter(earliest);
        }

        long offset(Topic topic) {
            return topic == Topic.CONFIGURATION ? configurationOffset : endpointsOffset;
        }
    }

    PeerTable(HostAnnouncement self) {
        this.self = self;
    }

    /** Returns whether there are too many hosts for each to send to each. */
    boolean isLargeDeployment() {
        return peers.size() > MAXIMUM_DIRECT_PEERS;
    }

    /** Returns the time between two states that this host sends, which grows with the number of peers. */
    Duration stateInterval() {
        return isLargeDeployment()
                ? RELAYED_STATE_INTERVAL
                : MINIMUM_STATE_INTERVAL.plus(STATE_INTERVAL_PER_PEER.multipliedBy(peers.size()));
    }

    /** Returns the silence after which callers are no longer sent to a host. */
    Duration liveLimit() {
        return stateInterval().multipliedBy(MAXIMUM_MISSED_STATES).plus(STATE_DELAY);
    }

    /** Takes an announcement from the log or a peer; returns whether its address is news. */
    boolean update(HostAnnouncement announcement, Instant now) {
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

    void recordContact(HostId host, Instant now) {
        Peer peer = peers.get(host);
        if (peer != null) {
            peer.heardAt = now;
        }
    }

    void recordState(PeerMessage.HostState state, Instant now) {
        Peer peer = peers.get(state.announcement().host());
        if (peer != null
                && peer.announcement.incarnation() == state.announcement().incarnation()) {
            peer.heardAt = now;
            peer.leaving = state.leaving();
            peer.reachesLog = state.reachesLog();
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

    /** Returns the peers that have been heard of lately. */
    List<HostAnnouncement> recentlyHeard(Instant now) {
        return peers.entrySet().stream()
                .filter(entry -> silence(entry.getKey(), now).compareTo(FORGET_AFTER) < 0)
                .map(entry -> entry.getValue().announcement)
                .toList();
    }

    /** Returns whether a peer lives or is so new that it may not have been heard yet. */
    boolean mayBeLive(HostId host, Instant now) {
        Peer peer = peers.get(host);
        return peer != null && !peer.leaving && silence(host, now).compareTo(liveLimit()) < 0;
    }

    private double cores(HostId host) {
        Peer peer = peers.get(host);
        return peer == null ? self.cores() : peer.announcement.cores();
    }

    /** Returns those of some hosts that can do work for others: the strongest, and those that are not much weaker. */
    List<HostId> strongHosts(List<HostId> hosts) {
        double mostCores = hosts.stream().mapToDouble(this::cores).max().orElse(0);
        return hosts.stream()
                .filter(host -> cores(host) >= mostCores * STRONG_CORE_SHARE)
                .toList();
    }

    /** Returns the hosts that use the log for all, in order, among those that live and reach it. */
    List<HostId> logReaders(boolean selfReachesLog, Instant now) {
        List<HostId> hosts = live(now).stream()
                .filter(host -> host.equals(self.host()) ? selfReachesLog : peers.get(host).reachesLog)
                .toList();
        return RendezvousHash.rank(LOG_RANKING_KEY, strongHosts(hosts)).stream()
                .limit(isLargeDeployment() ? MAXIMUM_LOG_READERS : 1)
                .toList();
    }

    int size() {
        return peers.size();
    }

    boolean isLive(HostId host, Instant now) {
        Peer peer = peers.get(host);
        return peer != null && peer.isLiveSince(now.minus(liveLimit()));
    }

    /** Returns this host and the peers that were heard lately and do not leave. */
    List<HostId> live(Instant now) {
        Instant earliest = now.minus(liveLimit());
        List<HostId> result = new ArrayList<>();
        result.add(self.host());
        peers.forEach((host, peer) -> {
            if (peer.isLiveSince(earliest)) {
                result.add(host);
            }
        });
        return result;
    }

    /** Returns how long a host has been silent; from when it was first known if it was never heard. */
    Duration silence(HostId host, Instant now) {
        if (startedAt.equals(Instant.MAX)) {
            startedAt = now;
        }
        Peer peer = peers.get(host);
        Instant start = peer == null ? startedAt : peer.heardAt.equals(Instant.MIN) ? peer.knownSince : peer.heardAt;
        return Duration.between(start, now);
    }

    /** Returns whether this host hears at least half of the peers that lived lately, so that it is not cut off itself. */
    boolean hearsMajority(Instant now) {
        Instant earliest = now.minus(liveLimit());
        int heard = 0;
        int expected = 0;
        for (Map.Entry<HostId, Peer> entry : peers.entrySet()) {
            if (silence(entry.getKey(), now).compareTo(FORGET_AFTER) < 0) {
                expected++;
                heard += entry.getValue().heardAt.isAfter(earliest) ? 1 : 0;
            }
        }
        return heard * 2 >= expected;
    }

    /** Returns the addresses that callers may use, this host first unless it leaves. */
    List<NetworkAddress> callerAddresses(boolean selfLeaving, Instant now) {
        List<NetworkAddress> result = new ArrayList<>();
        double mostCores = Math.max(
                self.cores(),
                peers.keySet().stream().mapToDouble(this::cores).max().orElse(0));
        addressQueries++;
        if (!selfLeaving && isAdvertised(self.host(), mostCores)) {
            result.add(self.callers());
        }
        Instant earliest = now.minus(liveLimit());
        peers.forEach((host, peer) -> {
            if (peer.isLiveSince(earliest) && isAdvertised(host, mostCores)) {
                result.add(peer.announcement.callers());
            }
        });
        if (result.isEmpty()) {
            result.add(self.callers());
        }
        return result;
    }

    /** Names a weak host in a part of the answers, since callers choose alike among the hosts in an answer. */
    private boolean isAdvertised(HostId host, double mostCores) {
        double share = cores(host) / mostCores;
        return share >= STRONG_CORE_SHARE
                || Math.floorMod(addressQueries * ADVERTISING_STEP + host.hashCode(), 1000) < share * 1000;
    }
}
