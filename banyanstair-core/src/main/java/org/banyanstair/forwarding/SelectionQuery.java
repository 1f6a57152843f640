package org.banyanstair.forwarding;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;

import org.banyanstair.model.EndpointId;

/**
 * What an endpoint is chosen for.
 *
 * @param request the request
 * @param prefixes hashes of its prompt prefixes that other requests may share, shortest first
 * @param route its route
 * @param engine capacity of a runner; empty for a plain service
 * @param tried endpoints that have failed the request
 * @param loadDelay milliseconds until a load can start on a runner; empty if none can
 * @param neededVersion lowest version of the adapter that may be used
 * @param newestVersion version of the adapter that a load brings
 * @param weightStoreUtilization loads on their way over all runners, as a multiple of what the store carries without delay
 */
record SelectionQuery(
        ForwardRequest request,
        long[] prefixes,
        Route route,
        Optional<EngineCapacity> engine,
        Set<EndpointId> tried,
        Function<EndpointState, OptionalDouble> loadDelay,
        long neededVersion,
        long newestVersion,
        double weightStoreUtilization) {}
