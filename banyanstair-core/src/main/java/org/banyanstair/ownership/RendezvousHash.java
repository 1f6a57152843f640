package org.banyanstair.ownership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.apache.commons.codec.digest.MurmurHash3;
import org.banyanstair.model.HostId;

/**
 * Highest random weight hashing (Thaler and Ravishankar, 1998): ranks hosts for a name.
 *
 * <p>When a host goes, only the names that it ranked first for move, and they spread evenly over the others.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Ranks hosts for a name.
     *
     * @param name what to place
     * @param hosts the hosts
     * @return all hosts, best first
     */
    public static List<HostId> rank(String name, Collection<HostId> hosts) {
        return hosts.stream().sorted(order(name)).toList();
    }

    /**
     * Finds the first host for a name.
     *
     * @param name what to place
     * @param hosts the hosts
     * @return the host that ranks first, empty if there are none
     */
    public static Optional<HostId> first(String name, Collection<HostId> hosts) {
        return hosts.stream().min(order(name));
    }

    private static Comparator<HostId> order(String name) {
        return Comparator.comparingLong((HostId host) -> weight(name, host))
                .reversed()
                .thenComparing(Comparator.naturalOrder());
    }

    private static long weight(String name, HostId host) {
        byte[] bytes = (name + '\n' + host.value()).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }
}
