package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.HostId;
import org.banyanstair.ownership.RendezvousHash;

/**
 * Divides the hosts of a large deployment into groups within data centres and elects a relay for each group.
 *
 * <p>A relay sends all messages to each member, which is more than a weak host's network carries. So each group has at
 * least two strong hosts, if its data centre has them.
 *
 * <p>Hosts need not agree on the groups: a host relays whatever it receives for relaying, so a disagreement costs an
 * additional message but loses none.
 */
final class RelayGroups {
    /** Target size of a group; near the square root of the number of hosts, where the load of a relay is least. */
    private static final int GROUP_SIZE = 9;

    /** Strong hosts per group: the relay and a substitute. */
    private static final int STRONG_MEMBERS = 2;

    /** Silence after which a relay is replaced: three of its heartbeat intervals. */
    private static final Duration SILENCE_LIMIT = Duration.ofMillis(600);

    /** Time for which a silent relay is excluded from election; by then it has sent a message or counts as not live. */
    private static final Duration SUSPICION_PERIOD = Duration.ofSeconds(3);

    private final HostAnnouncement self;
    private final PeerTable peers;
    private final Map<HostId, String> groupOf = new HashMap<>();

    /** Members of each group in their order of preference as its relay. */
    private final Map<String, List<HostId>> members = new TreeMap<>();

    private final Map<String, Relay> relays = new HashMap<>();
    private final Map<HostId, Instant> lastContactAt = new HashMap<>();
    private final Map<HostId, Instant> suspectedUntil = new HashMap<>();
    private List<HostAnnouncement> assignedHosts = List.of();

    private record Relay(HostId host, Instant since) {}

    RelayGroups(HostAnnouncement self, PeerTable peers) {
        this.self = self;
        this.peers = peers;
    }

    /** Records that a message arrived directly from a host. */
    void recordContact(HostId host, Instant now) {
        lastContactAt.put(host, now);
    }

    /** Divides the known hosts into groups, if they have changed, and elects the relays. */
    void refresh(Instant now) {
        List<HostAnnouncement> hosts = new ArrayList<>(peers.recentPeers(now));
        hosts.add(self);
        if (!hosts.equals(assignedHosts)) {
            assignedHosts = hosts;
            assignGroups();
        }
        suspectedUntil.values().removeIf(now::isAfter);
        boolean wasRelay = isRelay();
        electRelay(groupOf.get(self.host()), true, now);
        boolean isRelay = isRelay();
        if (isRelay && !wasRelay) {
            // Other relays send to this host only from now on, so their silence is measured from now.
            relays.replaceAll((group, relay) -> new Relay(relay.host(), now));
        }
        members.keySet().stream()
                .filter(group -> !group.equals(groupOf.get(self.host())))
                .forEach(group -> electRelay(group, isRelay, now));
    }

    private void assignGroups() {
        Map<String, List<HostId>> dataCentres = new TreeMap<>();
        assignedHosts.forEach(host -> dataCentres
                .computeIfAbsent(host.dataCentre(), name -> new ArrayList<>())
                .add(host.host()));
        groupOf.clear();
        members.clear();
        dataCentres.forEach(this::assignGroups);
        members.replaceAll(RendezvousHash::rank);
        relays.keySet().retainAll(members.keySet());
    }

    /**
     * Distributes the strong hosts of a data centre evenly over its groups and the other hosts by a hash of their
     * names, which stays the same when hosts come and go. If all hosts are equally strong, all are distributed by hash.
     */
    private void assignGroups(String dataCentre, List<HostId> hosts) {
        List<HostId> strong = peers.strongHosts(hosts);
        List<HostId> rankedStrong = strong.size() == hosts.size() ? List.of() : RendezvousHash.rank(dataCentre, strong);
        int groupCount =
                Math.max(1, Math.min(Math.round((float) hosts.size() / GROUP_SIZE), strong.size() / STRONG_MEMBERS));
        for (HostId host : hosts) {
            int rank = rankedStrong.indexOf(host);
            int number = rank >= 0 ? rank : host.value().hashCode();
            String group = dataCentre + "/" + Math.floorMod(number, groupCount);
            groupOf.put(host, group);
            members.computeIfAbsent(group, name -> new ArrayList<>()).add(host);
        }
    }

    private void electRelay(String group, boolean expectsRelayMessages, Instant now) {
        Relay relay = relays.get(group);
        if (relay != null && expectsRelayMessages && !relay.host().equals(self.host())) {
            Instant lastContact = lastContactAt.getOrDefault(relay.host(), Instant.MIN);
            Instant silentSince = lastContact.isAfter(relay.since()) ? lastContact : relay.since();
            if (now.isAfter(silentSince.plus(SILENCE_LIMIT))) {
                suspectedUntil.put(relay.host(), now.plus(SUSPICION_PERIOD));
            }
        }
        List<HostId> candidates = members.get(group).stream()
                .filter(host ->
                        host.equals(self.host()) || peers.mayBeLive(host, now) && !suspectedUntil.containsKey(host))
                .toList();
        Optional<HostId> chosen = peers.strongHosts(candidates).stream().findFirst();
        if (chosen.isEmpty()) {
            relays.remove(group);
        } else if (relay == null || !relay.host().equals(chosen.get())) {
            relays.put(group, new Relay(chosen.get(), now));
        }
    }

    boolean isRelay() {
        return relay(groupOf.get(self.host())).equals(Optional.of(self.host()));
    }

    private Optional<HostId> relay(String group) {
        return Optional.ofNullable(relays.get(group)).map(Relay::host);
    }

    /** Returns the relay of a host's group; empty if the host or the relay is not known. */
    Optional<HostId> relayOf(HostId host) {
        return Optional.ofNullable(groupOf.get(host)).flatMap(this::relay);
    }

    boolean isOwnGroup(HostId host) {
        return groupOf.get(self.host()) != null && groupOf.get(self.host()).equals(groupOf.get(host));
    }

    /** Returns the other members of this host's group that may be live. */
    List<HostId> otherMembers(Instant now) {
        return members.getOrDefault(groupOf.get(self.host()), List.of()).stream()
                .filter(host -> !host.equals(self.host()) && peers.mayBeLive(host, now))
                .toList();
    }

    List<HostId> otherRelays() {
        return relays.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(groupOf.get(self.host())))
                .map(entry -> entry.getValue().host())
                .toList();
    }
}
