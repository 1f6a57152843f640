package org.banyanstair.ownership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.apache.commons.codec.digest.MurmurHash3;
import org.banyanstair.model.HostId;

/**
 * Rendezvous (highest random weight) hashing (Thaler and Ravishankar, 1998): ranks hosts for a name.
 *
 * <p>When a host is removed, only the names for which it ranked first move, spread evenly over the other hosts.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** A host with its weight, which is cached because computing it costs more than comparing it. */
    private record WeightedHost(HostId host, long weight) implements Comparable<WeightedHost> {
        @Override
        public int compareTo(WeightedHost other) {
            int byWeight = Long.compare(other.weight, weight);
            return byWeight != 0 ? byWeight : host.compareTo(other.host);
        }
    }

    /** Returns all hosts, highest weight for the name first. */
    public static List<HostId> rank(String name, Collection<HostId> hosts) {
        List<WeightedHost> weighted = new ArrayList<>(hosts.size());
        hosts.forEach(host -> weighted.add(weigh(name, host)));
        weighted.sort(Comparator.naturalOrder());
        List<HostId> ranked = new ArrayList<>(weighted.size());
        weighted.forEach(entry -> ranked.add(entry.host));
        return Collections.unmodifiableList(ranked);
    }

    /** Returns the host with the highest weight for the name, or empty if there are no hosts. */
    public static Optional<HostId> first(String name, Collection<HostId> hosts) {
        WeightedHost highest = null;
        for (HostId host : hosts) {
            WeightedHost next = weigh(name, host);
            highest = highest == null || next.compareTo(highest) < 0 ? next : highest;
        }
        return Optional.ofNullable(highest).map(WeightedHost::host);
    }

    private static WeightedHost weigh(String name, HostId host) {
        byte[] bytes = (name + '\n' + host.value()).getBytes(StandardCharsets.UTF_8);
        return new WeightedHost(host, MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0]);
    }
}
