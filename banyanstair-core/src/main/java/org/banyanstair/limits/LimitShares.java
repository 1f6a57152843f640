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
 * few hosts only, by a hash that all hosts compute alike.
 */
public final class LimitShares {
    /** Requests a second below which a host does not count. */
    private static final double MINIMUM_DEMAND = 0.02;

    /** Part of the largest demand below which a host does not count. */
    private static final double MINIMUM_DEMAND_SHARE = 1.0 / 16;

    /** Hosts that may use a limit, besides those for each request a second. */
    private static final double BASE_HOSTS = 4;

    private static final double HOSTS_PER_REQUEST_PER_SECOND = 2;

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
     * Returns the part of the limit that a host may use; empty if it may not send any request.
     *
     * @param perSecond the limit
     * @param demands requests a second of each host
     */
    public static Optional<Share> shareOf(
            HostId host, EndpointId endpoint, double perSecond, Map<HostId, Double> demands) {
        double largest =
                demands.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        double minimum = Math.max(MINIMUM_DEMAND, largest * MINIMUM_DEMAND_SHARE);
        List<HostId> ranked = RendezvousHash.rank(
                endpoint.value(),
                demands.keySet().stream()
                        .filter(each -> demands.get(each) >= minimum)
                        .toList());
        int count = Math.min(ranked.size(), (int) (BASE_HOSTS + HOSTS_PER_REQUEST_PER_SECOND * perSecond));
        List<HostId> users = ranked.subList(0, count);
        if (!users.contains(host)) {
            return Optional.empty();
        }
        double total = users.stream().mapToDouble(demands::get).sum();
        return Optional.of(new Share(
                perSecond * demands.get(host) / total,
                Math.max(1, (BASE_BURST + perSecond) / count),
                (users.indexOf(host) + 1.0) / count));
    }
}
