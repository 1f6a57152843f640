package org.banyanstair.forwarding;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;

import org.banyanstair.model.EndpointId;

/**
 * Input of the selection of an endpoint for a request.
 *
 * @param prefixes hashes of the shareable prompt prefixes, shortest first
 * @param engine capacity of a runner; empty for a plain service
 * @param tried endpoints on which the request has failed
 * @param loadDelay milliseconds until a load can start on a runner; empty if none can
 * @param neededVersion lowest version of the adapter that may be used
 * @param newestVersion version of the adapter that would be loaded
 * @param weightStoreUtilization loads in transit over all runners, as a multiple of what the weight store serves
 *     without slowing down
 * @param latestStartMilliseconds time after which the caller no longer waits for the first output
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
        double weightStoreUtilization,
        double latestStartMilliseconds) {}
