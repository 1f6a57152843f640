package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Chooses the endpoint of a request by the time until its first output.
 *
 * <p>Answers load of two kinds. On runners, reading prompts is what binds on the heaviest days, so the estimate counts
 * the tokens that wait there for all hosts, less the parts that the runner has cached, and the load of the adapter. On
 * plain services it counts the requests beyond the slots.
 */
final class EndpointSelector {
    /** Added where an adapter has to be loaded though another runner has it: it evicts one and prompts are read again. */
    private static final double COPY_PENALTY_MILLISECONDS = 300;

    /** Added where an adapter has to be brought from the weight store, which is paid for and slows down others. */
    private static final double FETCH_PENALTY_MILLISECONDS = 200;

    /** Added for an endpoint in another data centre; bytes between data centres are paid for. */
    private static final double REMOTE_PENALTY_MILLISECONDS = 8;

    /** Added for an endpoint that fails all of its requests, in proportion for fewer. */
    private static final double FAILURE_PENALTY_MILLISECONDS = 800;

    /** Added when the memory of a runner is full, so that it would take another request's place. */
    private static final double FULL_PENALTY_MILLISECONDS = 600;

    /** Added for each place further down the order of runners for an adapter, so that hosts agree on where to load. */
    private static final double RANK_PENALTY_MILLISECONDS = 6;

    /** Share of the memory of a runner that requests may fill before it counts as full. */
    private static final double FULL_CACHE_SHARE = 0.95;

    /** Time of a request of a plain service, until the objective tells better. */
    private static final double PLAIN_OBJECTIVE_SHARE = 0.25;

    private final String dataCentre;

    EndpointSelector(String dataCentre) {
        this.dataCentre = dataCentre;
    }

    /**
     * Chooses an endpoint.
     *
     * @param query what it is for
     * @param endpoints endpoints of the service
     * @param now present instant
     * @return the choice; empty if no endpoint takes the request
     */
    Optional<EndpointSelection> select(SelectionQuery query, Collection<EndpointState> endpoints, Instant now) {
        ForwardRequest request = query.request();
        long neededVersion = query.neededVersion();
        List<EndpointState> candidates = endpoints.stream()
                .filter(endpoint ->
                        endpoint.acceptsRequests(now) && !query.tried().contains(endpoint.id()))
                .filter(endpoint -> query.engine().isEmpty() || endpoint.holdsBaseModelOf(request))
                .toList();
        if (query.engine().isEmpty()
                || request.prompt().isEmpty() && request.adapter().isEmpty()) {
            return candidates.stream()
                    .map(endpoint -> new EndpointSelection(endpoint, false, plainCost(endpoint, query.route(), now)))
                    .min((left, right) -> Double.compare(left.startMilliseconds(), right.startMilliseconds()));
        }
        boolean loadedSomewhere = request.adapter().isPresent()
                && candidates.stream().anyMatch(endpoint -> isUsable(endpoint, request, neededVersion));
        long[] weights = candidates.stream()
                .mapToLong(endpoint -> weight(endpoint, request))
                .toArray();
        EndpointSelection best = null;
        for (int index = 0; index < candidates.size(); index++) {
            EndpointState endpoint = candidates.get(index);
            boolean load = request.adapter().isPresent() && !isUsable(endpoint, request, neededVersion);
            OptionalDouble delay = load ? query.loadDelay().apply(endpoint) : OptionalDouble.of(0);
            if (delay.isEmpty()) {
                continue;
            }
            double cost = delay.getAsDouble()
                    + runnerCost(
                            endpoint, request, query.prefixes(), query.engine().get(), now);
            if (load) {
                boolean loadPending = endpoint.isLoadPending(request.adapter().get());
                boolean recentlyHeld = endpoint.recentlyHeld(request.adapter().get(), query.newestVersion());
                Duration time = endpoint.loadTime(request.adapter().get(), query.newestVersion());
                cost += time.toMillis() * Math.max(1, query.weightStoreUtilization())
                        + (recentlyHeld || loadPending ? 0 : FETCH_PENALTY_MILLISECONDS)
                        + (loadedSomewhere && !loadPending ? COPY_PENALTY_MILLISECONDS : 0)
                        + (loadPending ? 0 : RANK_PENALTY_MILLISECONDS * rank(weights[index], weights));
            } else if (request.adapter().isPresent()) {
                AdapterSlot adapter = endpoint.adapters().get(request.adapter().get());
                if (!adapter.isReady(now)) {
                    cost += Duration.between(now, adapter.readyAt()).toMillis();
                }
            }
            if (best == null || cost < best.startMilliseconds()) {
                best = new EndpointSelection(endpoint, load, cost);
            }
        }
        return Optional.ofNullable(best);
    }

    static boolean isUsable(EndpointState endpoint, ForwardRequest request, long neededVersion) {
        AdapterSlot slot = endpoint.adapters().get(request.adapter().orElseThrow());
        return slot != null && slot.version() >= neededVersion;
    }

    /** Estimates the time that a runner needs for the prompt of a request and for those that wait before it. */
    static double promptMilliseconds(EndpointState endpoint, ForwardRequest request, long[] hashes) {
        int own = Math.max(1, request.inputTokens() - endpoint.prefixes().cachedTokens(request, hashes));
        return (endpoint.waitingTokens() + own) / RunnerTimings.PROMPT_TOKENS_PER_MILLISECOND * endpoint.slowdown()
                + 2 * RunnerTimings.STEP_MILLISECONDS;
    }

    private double runnerCost(
            EndpointState endpoint, ForwardRequest request, long[] hashes, EngineCapacity engine, Instant now) {
        double cost = promptMilliseconds(endpoint, request, hashes) + commonCost(endpoint, now);
        long needed = endpoint.cacheTokens() + request.inputTokens() + request.outputTokens();
        if (needed > engine.cacheTokens() * FULL_CACHE_SHARE
                || endpoint.running() >= endpoint.listing().slots()) {
            cost += FULL_PENALTY_MILLISECONDS;
        }
        return cost;
    }

    private double plainCost(EndpointState endpoint, Route route, Instant now) {
        double each = route.objective().toMillis() * PLAIN_OBJECTIVE_SHARE;
        int slots = Math.max(1, endpoint.listing().slots());
        int running = endpoint.running();
        // Some endpoints slow down when nearly full, so the load counts before the slots are taken.
        double load = each * running / slots + (running >= slots ? each * (running - slots + 1) / slots + each : 0);
        return load + commonCost(endpoint, now);
    }

    private double commonCost(EndpointState endpoint, Instant now) {
        return (dataCentre.equals(endpoint.listing().dataCentre()) ? 0 : REMOTE_PENALTY_MILLISECONDS)
                + FAILURE_PENALTY_MILLISECONDS * endpoint.failureRate(now);
    }

    /** Returns the place of an endpoint in the order by weight. */
    private static int rank(long weight, long[] weights) {
        int rank = 0;
        for (long other : weights) {
            rank += other > weight ? 1 : 0;
        }
        return rank;
    }

    private static long weight(EndpointState endpoint, ForwardRequest request) {
        long hash = endpoint.id().value().hashCode() * 0x9E3779B97F4A7C15L
                ^ request.adapter().hashCode() * 0xC2B2AE3D27D4EB4FL;
        hash = (hash ^ hash >>> 29) * 0xBF58476D1CE4E5B9L;
        return hash ^ hash >>> 32;
    }
}
