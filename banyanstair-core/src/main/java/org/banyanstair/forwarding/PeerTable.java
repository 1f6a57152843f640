package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.banyanstair.allotments.Reach;
import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.ownership.RendezvousHash;
import org.banyanstair.peer.PeerMessage;

/** The other hosts, with their last known state and the time of the last contact. */
final class PeerTable {
    /** Minimum time between two state messages of a host; each peer receives one about three times a second. */
    private static final Duration MINIMUM_STATE_INTERVAL = Duration.ofMillis(300);

    /** Added to that interval for each peer; limits a host to about forty state messages a second. */
    private static final Duration STATE_INTERVAL_PER_PEER = Duration.ofMillis(7);

    /** Interval of state messages over relays; a replacement for a failed relay is elected within it. */
    private static final Duration RELAYED_STATE_INTERVAL = Duration.ofMillis(500);

    /** Maximum number of peers for direct messages; with more, messages go over relays. */
    private static final int MAXIMUM_DIRECT_PEERS = 16;

    /** State messages that may be missed in a row before a host counts as not live. */
    private static final int MAXIMUM_MISSED_STATES = 3;

    /** Allowance for delayed state messages. */
    private static final Duration STATE_DELAY = Duration.ofMillis(200);

    /** State messages that a host which is reached sends at least. */
    private static final int REACH_STATES = 2;

    /** Allowance for delayed state messages of hosts that are reached. */
    private static final Duration REACH_DELAY = Duration.ofMillis(100);

    /** Time between two usage reports in a small deployment. */
    private static final Duration USAGE_INTERVAL = Duration.ofMillis(30);

    /** Added to the interval of usage reports for each peer. */
    private static final Duration USAGE_INTERVAL_PER_PEER = Duration.ofMillis(4);

    /** Time from a usage report to its effect on a peer. */
    private static final Duration USAGE_DELAY = Duration.ofMillis(10);

    /** Mean age of usage reports that pass two relays, each of which bundles messages. */
    private static final Duration RELAYED_USAGE_AGE = PeerMessenger.BUNDLE_INTERVAL.multipliedBy(2);

    /** Silence after which a host no longer counts in the majority check and the relay groups. */
    private static final Duration FORGET_AFTER = Duration.ofSeconds(30);

    /** Share of the largest host's cores that a host needs to take on shared work. */
    private static final double STRONG_CORE_SHARE = 0.7;

    /**
     * Number of hosts of a large deployment that read the log for their peers, so that two of them may lose it at once.
     */
    private static final int MAXIMUM_LOG_READERS = 3;

    /** Step that spreads the inclusion of weak hosts over address queries; coprime to a thousand. */
    private static final int ADVERTISING_STEP = 619;

    /** Hash key for the ranking of hosts as log readers. */
    private static final String LOG_RANKING_KEY = "log";

    private final HostAnnouncement self;
    private final Map<HostId, Peer> peers = new TreeMap<>();
    private List<HostId> logRanking;
    private Duration liveLimit;
    private Instant startedAt = Instant.MAX;
    private long addressQueries;
    private boolean logNamesEra;

    /** Last known state of a peer. */
    static final class Peer {
        private HostAnnouncement announcement;
        private Instant lastContactAt = Instant.MIN;
        private Instant knownSince;
        private boolean leaving;
        private boolean reachesLog;
        private boolean namesLogEra;
        private LogPosition configurationEnd = LogPosition.UNREAD;
        private LogPosition endpointsEnd = LogPosition.UNREAD;

        HostAnnouncement announcement() {
            return announcement;
        }

        boolean isLiveSince(Instant earliest) {
            return !leaving && lastContactAt.isAfter(earliest);
        }

        LogPosition end(Topic topic) {
            return topic == Topic.CONFIGURATION ? configurationEnd : endpointsEnd;
        }
    }

    PeerTable(HostAnnouncement self) {
        this.self = self;
        this.logRanking = List.of(self.host());
        updateLiveLimit();
    }

    /** Returns whether there are too many hosts for direct messages between all of them. */
    boolean isLargeDeployment() {
        return peers.size() > MAXIMUM_DIRECT_PEERS;
    }

    /** Returns the time between two usage reports of a host. */
    Duration usageInterval() {
        return isLargeDeployment()
                ? PeerMessenger.BUNDLE_INTERVAL
                : USAGE_INTERVAL.plus(USAGE_INTERVAL_PER_PEER.multipliedBy(peers.size()));
    }

    /** Returns the mean age of what usage reports say of the other hosts. */
    Duration usageAge() {
        return isLargeDeployment()
                ? RELAYED_USAGE_AGE
                : usageInterval().dividedBy(2).plus(USAGE_DELAY);
    }

    /** Returns the interval of this host's state messages, which grows with the number of peers. */
    Duration stateInterval() {
        return isLargeDeployment()
                ? RELAYED_STATE_INTERVAL
                : MINIMUM_STATE_INTERVAL.plus(STATE_INTERVAL_PER_PEER.multipliedBy(peers.size()));
    }

    /** Returns the silence after which a host counts as not live and is no longer advertised to callers. */
    Duration liveLimit() {
        return liveLimit;
    }

    private void updateLiveLimit() {
        liveLimit = stateInterval().multipliedBy(MAXIMUM_MISSED_STATES).plus(STATE_DELAY);
    }

    /** Applies an announcement from the log or a peer; returns whether it changed what is known of the host. */
    boolean update(HostAnnouncement announcement, Instant now) {
        if (announcement.host().equals(self.host())) {
            return false;
        }
        Peer peer = peers.get(announcement.host());
        if (peer == null) {
            peer = new Peer();
            peer.knownSince = now;
            peers.put(announcement.host(), peer);
            List<HostId> hosts = new ArrayList<>(peers.keySet());
            hosts.add(self.host());
            logRanking = RendezvousHash.rank(LOG_RANKING_KEY, hosts);
            updateLiveLimit();
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
            peer.lastContactAt = now;
        }
    }

    void recordState(PeerMessage.HostState state, Instant now) {
        Peer peer = peers.get(state.announcement().host());
        if (peer != null
                && peer.announcement.incarnation() == state.announcement().incarnation()) {
            peer.lastContactAt = now;
            peer.leaving = state.leaving();
            peer.reachesLog = state.reachesLog();
            peer.namesLogEra = state.logEra() != 0;
            peer.configurationEnd = state.configurationEnd();
            peer.endpointsEnd = state.endpointsEnd();
        }
    }

    Optional<Peer> find(HostId host) {
        return Optional.ofNullable(peers.get(host));
    }

    Collection<HostId> all() {
        return peers.keySet();
    }

    /** Returns the announcements of the peers with a recent contact. */
    List<HostAnnouncement> recentPeers(Instant now) {
        return peers.entrySet().stream()
                .filter(entry -> silence(entry.getKey(), now).compareTo(FORGET_AFTER) < 0)
                .map(entry -> entry.getValue().announcement)
                .toList();
    }

    /** Returns whether a peer is live, or so new that its first message may still be due. */
    boolean mayBeLive(HostId host, Instant now) {
        Peer peer = peers.get(host);
        return peer != null && !peer.leaving && silence(host, now).compareTo(liveLimit()) < 0;
    }

    private double cores(HostId host) {
        Peer peer = peers.get(host);
        return peer == null ? self.cores() : peer.announcement.cores();
    }

    /** Returns the hosts that can take on shared work: those with the most cores and those with only a little less. */
    List<HostId> strongHosts(List<HostId> hosts) {
        double mostCores = 0;
        for (HostId host : hosts) {
            mostCores = Math.max(mostCores, cores(host));
        }
        List<HostId> strong = new ArrayList<>();
        for (HostId host : hosts) {
            if (cores(host) >= mostCores * STRONG_CORE_SHARE) {
                strong.add(host);
            }
        }
        return strong;
    }

    /**
     * Returns the hosts that read and append to the log for their peers, in order of rank, among those that are live
     * and reach it.
     */
    List<HostId> logReaders(boolean selfReachesLog, Instant now) {
        Instant earliest = now.minus(liveLimit());
        List<HostId> hosts = new ArrayList<>();
        for (HostId host : logRanking) {
            Peer peer = peers.get(host);
            if (peer == null ? selfReachesLog : isUsableReader(peer) && peer.isLiveSince(earliest)) {
                hosts.add(host);
            }
        }
        List<HostId> strong = strongHosts(hosts);
        return strong.subList(0, Math.min(strong.size(), isLargeDeployment() ? MAXIMUM_LOG_READERS : 1));
    }

    /** Returns whether a peer relays records with their era if the log names one; an earlier release does not. */
    private boolean isUsableReader(Peer peer) {
        return peer.reachesLog && (!logNamesEra || peer.namesLogEra);
    }

    /** Records that the log names its era. */
    void setLogNamesEra() {
        logNamesEra = true;
    }

    /** Returns the data centre of a host; empty text if the host is unknown. */
    String dataCentre(HostId host) {
        Peer peer = peers.get(host);
        HostAnnouncement announcement = peer == null ? self : peer.announcement;
        return announcement.host().equals(host) ? announcement.dataCentre() : "";
    }

    /**
     * Returns whether the load of a data centre is known: one of its hosts is live, or no host is known there, so that
     * only hosts elsewhere use its endpoints.
     */
    boolean isReported(String dataCentre, Instant now) {
        Instant earliest = now.minus(liveLimit());
        boolean hasHosts = false;
        for (Peer peer : peers.values()) {
            if (peer.announcement.dataCentre().equals(dataCentre)) {
                hasHosts = true;
                if (peer.isLiveSince(earliest)) {
                    return true;
                }
            }
        }
        return !hasHosts;
    }

    int size() {
        return peers.size();
    }

    boolean isLive(HostId host, Instant now) {
        Peer peer = peers.get(host);
        return peer != null && peer.isLiveSince(now.minus(liveLimit()));
    }

    /**
     * Returns how many hosts this one receives messages from. Only a majority of silent hosts has an effect, so a shorter
     * silence counts than for a single host.
     */
    Reach reach(Instant now) {
        Duration limit = stateInterval().multipliedBy(REACH_STATES).plus(REACH_DELAY);
        int known = 1;
        int reached = 1;
        HostId lowestKnown = self.host();
        HostId lowestReached = self.host();
        for (Map.Entry<HostId, Peer> entry : peers.entrySet()) {
            HostId host = entry.getKey();
            Duration silence = silence(host, now);
            boolean isReached = silence.compareTo(limit) < 0;
            if (!isReached && (entry.getValue().leaving || silence.compareTo(FORGET_AFTER) >= 0)) {
                continue;
            }
            known++;
            lowestKnown = host.compareTo(lowestKnown) < 0 ? host : lowestKnown;
            if (isReached) {
                reached++;
                lowestReached = host.compareTo(lowestReached) < 0 ? host : lowestReached;
            }
        }
        return new Reach(reached, known, lowestKnown.equals(lowestReached));
    }

    /** Returns this host and the live peers. */
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

    /** Returns the time since the last message of a host, or since it became known if there was none. */
    Duration silence(HostId host, Instant now) {
        if (startedAt.equals(Instant.MAX)) {
            startedAt = now;
        }
        Peer peer = peers.get(host);
        Instant start = peer == null
                ? startedAt
                : peer.lastContactAt.equals(Instant.MIN) ? peer.knownSince : peer.lastContactAt;
        return Duration.between(start, now);
    }

    /**
     * Returns whether this host has contact to at least half of the recently live peers; otherwise it may be
     * partitioned itself.
     */
    boolean reachesMajority(Instant now) {
        Instant earliest = now.minus(liveLimit());
        int reached = 0;
        int expected = 0;
        for (Map.Entry<HostId, Peer> entry : peers.entrySet()) {
            if (silence(entry.getKey(), now).compareTo(FORGET_AFTER) < 0) {
                expected++;
                reached += entry.getValue().lastContactAt.isAfter(earliest) ? 1 : 0;
            }
        }
        return reached * 2 >= expected;
    }

    /** Returns the addresses that callers may use, this host first unless it is shutting down. */
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

    /** Advertises a weak host in proportion to its cores, since callers choose evenly among the advertised hosts. */
    private boolean isAdvertised(HostId host, double mostCores) {
        double share = cores(host) / mostCores;
        return share >= STRONG_CORE_SHARE
                || Math.floorMod(addressQueries * ADVERTISING_STEP + host.hashCode(), 1000) < share * 1000;
    }
}
