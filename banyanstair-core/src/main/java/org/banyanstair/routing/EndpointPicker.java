package org.banyanstair.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.Membership;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.RequestId;

/**
 * Picks an endpoint of a plain service: of two endpoints selected by the hash of the request, the one with fewer calls
 * in flight from this host (power of two choices, Mitzenmacher 2001). Not thread-safe.
 */
public final class EndpointPicker {
    private final Membership membership;
    private final Map<Long, EndpointId> endpointsByDispatch = new HashMap<>();

    public EndpointPicker(Membership membership) {
        this.membership = membership;
    }

    /**
     * Picks a live endpoint that has not been tried, or empty if there is none.
     *
     * @param request request whose hash selects the two candidates
     */
    public Optional<Endpoint> pick(PoolId pool, RequestId request, Collection<EndpointId> tried) {
        List<Endpoint> candidates = membership.listing().endpointsOf(pool).stream()
                .filter(endpoint -> endpoint.presence() == Presence.LIVE)
                .filter(endpoint -> !tried.contains(endpoint.id()))
                .toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        int hash = request.hashCode();
        Endpoint first = candidates.get(Math.floorMod(hash, candidates.size()));
        Endpoint second = candidates.get(Math.floorMod(hash >>> 16, candidates.size()));
        return List.of(first, second).stream().min(Comparator.comparingLong(this::callsInFlight));
    }

    private long callsInFlight(Endpoint endpoint) {
        return endpointsByDispatch.values().stream()
                .filter(endpoint.id()::equals)
                .count();
    }

    /** Records the start of a dispatch. */
    public void recordStart(long dispatch, EndpointId endpoint) {
        endpointsByDispatch.put(dispatch, endpoint);
    }

    /** Records the end of a dispatch. */
    public void recordEnd(long dispatch) {
        endpointsByDispatch.remove(dispatch);
    }
}
