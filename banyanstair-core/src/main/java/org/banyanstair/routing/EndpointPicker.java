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
 * Picks an endpoint of a plain service: of two chosen by the request's hash, the one with fewer own calls in flight
 * (power of two choices, Mitzenmacher 2001).
 *
 * <p>Not safe for use by several threads.
 */
public final class EndpointPicker {
    private final Membership membership;
    private final Map<Long, EndpointId> endpointsByDispatch = new HashMap<>();

    /** Creates a picker without calls in flight. */
    public EndpointPicker(Membership membership) {
        this.membership = membership;
    }

    /**
     * Picks a live endpoint.
     *
     * @param pool pool of the service
     * @param request the request, whose hash chooses the two candidates
     * @param tried endpoints that are not to be picked
     * @return the endpoint, empty if there is none
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

    /**
     * Counts a call in flight.
     *
     * @param endpoint where it runs
     */
    public void recordStart(long dispatch, EndpointId endpoint) {
        endpointsByDispatch.put(dispatch, endpoint);
    }

    /** Counts a call as ended. */
    public void recordEnd(long dispatch) {
        endpointsByDispatch.remove(dispatch);
    }
}
