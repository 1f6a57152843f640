package org.banyanstair.limits;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.ownership.RendezvousHash;

/**
 * Divides the limit of an endpoint among hosts by their demand.
 *
 * <p>Each host that may send can add a request to a time window whatever its part is, so a low limit is divided among a
 * few hosts only, by a hash that all hosts compute alike. Where others have demand too, fewer hosts have larger parts and
 * lend from them.
 */
public final class LimitShares {
    /** Requests a second below which a host does not count. */
    private static final double MINIMUM_DEMAND = 0.02;

    /** Part of the largest demand below which a host does not count. */
    private static final double MINIMUM_DEMAND_SHARE = 1.0 / 16;

    /** Hosts that may use a limit, besides those for each request a second. */
    private static final double BASE_HOSTS = 4;

    private static final double HOSTS_PER_REQUEST_PER_SECOND = 2;

    /** Hosts that have a part if others borrow from them; several, so that the limit is used while one fails. */
    private static final int LENDERS = 4;

    /** Requests that all hosts together may send at once, besides those of one second. */
    private static final double BASE_BURST = 3;

    private LimitShares() {}

    /**
     * Part of a limit that a host may use.
     *
     * @param perSecond requests a second
     * @param burst requests at once after a time without any, at least 1
     * @param turn time until the first request, as a part of the time between two, so that hosts begin in turn
     */
    public record Share(double perSecond, double burst, double turn) {}

    /**
     * Hosts among which a limit is divided.
     *
     * @param hosts those with a part, in the order in which they begin to use it
     * @param candidates number of hosts with demand
     * @param lend whether hosts borrow from those with a part
     */
    public record Division(List<HostId> hosts, int candidates, boolean lend) {
        /** Copies the list. */
        public Division {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * Returns the hosts among which the limit of an endpoint is divided.
     *
     * @param service service of the endpoint; all its endpoints have the same lenders
     * @param perSecond the limit
     * @param demands requests a second of each host
     * @param lending whether all hosts can lend and borrow
     */
    public static Division divide(
            EndpointId endpoint, String service, double perSecond, Map<HostId, Double> demands, boolean lending) {
        double largest =
                demands.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        double minimum = Math.max(MINIMUM_DEMAND, largest * MINIMUM_DEMAND_SHARE);
        List<HostId> candidates = demands.keySet().stream()
                .filter(each -> demands.get(each) >= minimum)
                .toList();
        int maximum = (int) (BASE_HOSTS + HOSTS_PER_REQUEST_PER_SECOND * perSecond);
        boolean lend = lending && candidates.size() > maximum;
        List<HostId> ranked = RendezvousHash.rank(lend ? service : endpoint.value(), candidates);
        int users = Math.min(ranked.size(), lend ? LENDERS : maximum);
        return new Division(ranked.subList(0, users), candidates.size(), lend);
    }

    /**
     * Returns the part of the limit that a host may use; empty if it may not send any request of its own.
     *
     * @param perSecond the limit
     * @param demands requests a second of each host
     * @param division the hosts among which it is divided
     */
    public static Optional<Share> shareOf(
            HostId host, double perSecond, Map<HostId, Double> demands, Division division) {
        int position = division.hosts().indexOf(host);
        if (position < 0) {
            return Optional.empty();
        }
        int count = division.hosts().size();
        // What is borrowed from lenders does not depend on their own demand.
        double share = division.lend()
                ? 1.0 / count
                : demands.get(host)
                        / division.hosts().stream().mapToDouble(demands::get).sum();
        return Optional.of(
                new Share(perSecond * share, Math.max(1, (BASE_BURST + perSecond) / count), (position + 1.0) / count));
    }
}
