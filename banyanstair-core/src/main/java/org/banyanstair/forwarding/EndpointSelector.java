package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.banyanstair.model.HostId;
import org.banyanstair.selection.ReportedLoad;
import org.banyanstair.selection.StaleLoadBalancer;

/**
 * Selects the endpoint with the lowest estimated time until the first output of a request.
 *
 * <p>On runners, prompt processing is the bottleneck under peak load, so the estimate counts the prompt tokens queued
 * there by all hosts, less the cached prefixes, and the load of the adapter. On plain services it counts the requests
 * in excess of the slots, and hosts that know the same old loads choose differently ({@link StaleLoadBalancer}).
 */
final class EndpointSelector {
    /**
     * Penalty for loading an adapter that another runner already holds: it evicts one, and prompts are processed again.
     */
    private static final double COPY_PENALTY_MILLISECONDS = 300;

    /** Penalty for a load from the weight store, which is billed and slows down other loads. */
    private static final double FETCH_PENALTY_MILLISECONDS = 200;

    /** Penalty for an endpoint in another data centre, unless the locality policy decides; that traffic is billed. */
    private static final double REMOTE_PENALTY_MILLISECONDS = 8;

    /** Penalty for an endpoint that fails all of its requests; proportionally less for fewer. */
    private static final double FAILURE_PENALTY_MILLISECONDS = 800;

    /** Penalty for a runner whose cache memory or slots are full, where the request would displace another. */
    private static final double FULL_PENALTY_MILLISECONDS = 600;

    /** Penalty for each rank in the hash order of runners for an adapter, so that hosts agree on where to load it. */
    private static final double RANK_PENALTY_MILLISECONDS = 6;

    /** Share of a runner's cache memory above which it counts as full. */
    private static final double FULL_CACHE_SHARE = 0.95;

    /** Estimated time of a request of a plain service as a share of the route's objective. */
    private static final double PLAIN_OBJECTIVE_SHARE = 0.25;

    private final String dataCentre;

    private final HostId self;

    private final DataCentreChooser dataCentres;

    private final PeerTable peers;

    private final StaleLoadBalancer balancer;

    EndpointSelector(HostId self, String dataCentre, DataCentreChooser dataCentres, PeerTable peers) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.dataCentres = dataCentres;
        this.peers = peers;
        this.balancer = new StaleLoadBalancer(self.value().hashCode());
    }

    /**
     * Selects an endpoint; empty if none accepts the request.
     *
     * @param endpoints endpoints of the service
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
            List<EndpointSelection> selections = candidates.stream()
                    .map(endpoint -> new EndpointSelection(
                            endpoint,
                            false,
                            plainCost(endpoint, query.route().objective(), now) + remotePenalty(endpoint)))
                    .toList();
            return dataCentres.isEnabled()
                    ? dataCentres.choose(query, selections, now)
                    : choosePlain(selections, query.route().objective(), now);
        }
        boolean loadedSomewhere = request.adapter().isPresent()
                && candidates.stream().anyMatch(endpoint -> isUsable(endpoint, request, neededVersion));
        long[] weights = candidates.stream()
                .mapToLong(endpoint -> weight(endpoint, request))
                .toArray();
        List<EndpointSelection> selections = new ArrayList<>();
        for (int index = 0; index < candidates.size(); index++) {
            EndpointState endpoint = candidates.get(index);
            boolean load = request.adapter().isPresent() && !isUsable(endpoint, request, neededVersion);
            OptionalDouble delay = load ? query.loadDelay().apply(endpoint) : OptionalDouble.of(0);
            if (delay.isEmpty()) {
                continue;
            }
            double cost = delay.getAsDouble();
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
            cost += runnerCost(
                    endpoint, request, query.prefixes(), query.engine().get(), now);
            selections.add(new EndpointSelection(endpoint, load, cost));
        }
        return dataCentres.isEnabled() ? dataCentres.chooseRunner(query, selections, now) : soonest(selections);
    }

    private static Optional<EndpointSelection> soonest(List<EndpointSelection> selections) {
        return selections.stream()
                .min((left, right) -> Double.compare(left.startMilliseconds(), right.startMilliseconds()));
    }

    private Optional<EndpointSelection> choosePlain(
            List<EndpointSelection> selections, Duration objective, Instant now) {
        if (selections.size() < 2 || peers.size() == 0) {
            return soonest(selections);
        }
        double assumed = objective.toMillis() * PLAIN_OBJECTIVE_SHARE;
        double[] known = selections.stream()
                .flatMapToDouble(selection -> selection.endpoint().responses().medianMilliseconds(now).stream())
                .sorted()
                .toArray();
        double others = known.length == 0 ? assumed : known[known.length / 2];
        List<ReportedLoad> loads = selections.stream()
                .map(selection -> load(selection.endpoint(), assumed, others, now))
                .toList();
        return Optional.of(selections.get(balancer.choose(loads, peers.usageAge())));
    }

    private ReportedLoad load(EndpointState endpoint, double assumed, double runOfOthers, Instant now) {
        int own = endpoint.runningOf(self);
        double run = endpoint.responses().medianMilliseconds(now).orElse(runOfOthers);
        return new ReportedLoad(
                own,
                endpoint.running() - own,
                Math.max(1, endpoint.listing().slots()),
                Math.max(1, run),
                (remotePenalty(endpoint) + failurePenalty(endpoint, now)) / Math.max(1, assumed));
    }

    static boolean isUsable(EndpointState endpoint, ForwardRequest request, long neededVersion) {
        AdapterSlot slot = endpoint.adapters().get(request.adapter().orElseThrow());
        return slot != null && slot.version() >= neededVersion;
    }

    /**
     * Estimates the milliseconds that a runner needs for the prompt of a request and for the prompts queued before it.
     */
    static double promptMilliseconds(EndpointState endpoint, ForwardRequest request, long[] hashes) {
        int own = Math.max(1, request.inputTokens() - endpoint.prefixes().cachedTokens(request, hashes));
        return (endpoint.waitingTokens() + own) / RunnerTimings.PROMPT_TOKENS_PER_MILLISECOND * endpoint.slowdown()
                + 2 * RunnerTimings.STEP_MILLISECONDS;
    }

    private double runnerCost(
            EndpointState endpoint, ForwardRequest request, long[] hashes, EngineCapacity engine, Instant now) {
        double cost = promptMilliseconds(endpoint, request, hashes)
                + remotePenalty(endpoint)
                + FAILURE_PENALTY_MILLISECONDS * endpoint.failureRate(now);
        long needed = endpoint.cacheTokens() + request.inputTokens() + request.outputTokens();
        if (needed > engine.cacheTokens() * FULL_CACHE_SHARE
                || endpoint.running() >= endpoint.listing().slots()) {
            cost += FULL_PENALTY_MILLISECONDS;
        }
        return cost;
    }

    /** Estimates the milliseconds until a plain endpoint has answered a request, but for the way there. */
    double plainCost(EndpointState endpoint, Duration objective, Instant now) {
        double assumed = objective.toMillis() * PLAIN_OBJECTIVE_SHARE;
        double each = dataCentres.isEnabled() ? dataCentres.runMilliseconds(endpoint, assumed, now) : assumed;
        int slots = Math.max(1, endpoint.listing().slots());
        int running = endpoint.running();
        // Some endpoints slow down when nearly full, so utilization counts even below the slot limit.
        double load = each * running / slots + (running >= slots ? each * (running - slots + 1) / slots + each : 0);
        return load + failurePenalty(endpoint, now) + (dataCentres.isEnabled() ? each : 0);
    }

    private double remotePenalty(EndpointState endpoint) {
        boolean isRemote = !dataCentre.equals(endpoint.listing().dataCentre());
        return isRemote && !dataCentres.isEnabled() ? REMOTE_PENALTY_MILLISECONDS : 0;
    }

    private double failurePenalty(EndpointState endpoint, Instant now) {
        if (dataCentres.isEnabled()) {
            return FAILURE_PENALTY_MILLISECONDS * dataCentres.excessFailures(endpoint, now);
        }
        return FAILURE_PENALTY_MILLISECONDS * endpoint.failureRate(now);
    }

    /** Returns the rank of an endpoint in descending order of weight. */
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
