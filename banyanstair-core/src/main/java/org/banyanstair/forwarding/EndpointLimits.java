package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;

import org.banyanstair.limits.DemandEstimator;
import org.banyanstair.limits.LimitShares;
import org.banyanstair.limits.RequestPacer;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.ReportedLimit;

/**
 * The limits that endpoints have named of the requests that they take from all hosts together, and the part of them
 * that this host may use.
 *
 * <p>All hosts report in their heartbeats the newest response of each limited endpoint and their own demand, and derive
 * the same parts from that. Not thread-safe.
 */
final class EndpointLimits {
    /** Time for which the end of a limit is reported; many heartbeats. */
    private static final Duration ENDED_RETENTION = Duration.ofSeconds(10);

    /** Time for which a limit is kept of an endpoint that is not listed. */
    private static final Duration UNLISTED_RETENTION = Duration.ofMinutes(1);

    private static final Duration UPDATE_INTERVAL = Duration.ofMillis(250);

    /** Rate at which an endpoint with a lower limit is asked whether it still names one. */
    private static final double MINIMUM_PER_SECOND = 0.25;

    private final EventContext context;
    private final HostId self;
    private final PlatformView view;
    private final PeerTable peers;
    private final DemandEstimator demand = new DemandEstimator();
    private final Map<EndpointId, NamedLimit> limits = new TreeMap<>();
    private Instant nextUpdateAt = Instant.MIN;

    private static final class NamedLimit {
        private final long started;
        private OptionalDouble perSecond = OptionalDouble.empty();
        private Instant observedAt = Instant.MIN;
        private final Map<HostId, Double> demands = new HashMap<>();
        private final RequestPacer pacer = new RequestPacer();

        NamedLimit(long started) {
            this.started = started;
        }
    }

    EndpointLimits(EventContext context, HostId self, PlatformView view, PeerTable peers) {
        this.context = context;
        this.self = self;
        this.view = view;
        this.peers = peers;
    }

    /** Applies what a response of an endpoint says. */
    void observe(EndpointState endpoint, RequestLimitNotice notice) {
        notice.unreadable()
                .ifPresent(text -> context.log(
                        DecisionRecord.important("endpoint-limit-ignored", "endpoint", endpoint.id(), "text", text)));
        if (notice.perSecond().isPresent() || notice.known() && isLimited(endpoint.id())) {
            apply(endpoint.id(), endpoint.listing().started(), notice.perSecond(), context.now(), self);
        }
    }

    /** Applies the heartbeat of a peer. */
    void limitsReported(HostId peer, List<ReportedLimit> reported) {
        for (ReportedLimit report : reported) {
            Instant observedAt = context.now().minusMillis(report.ageMilliseconds());
            apply(report.endpoint(), report.started(), report.perSecond(), observedAt, peer);
            limits.get(report.endpoint()).demands.put(peer, report.demandPerSecond());
        }
    }

    private void apply(EndpointId id, long started, OptionalDouble perSecond, Instant observedAt, HostId source) {
        NamedLimit limit = limits.get(id);
        if (limit == null || limit.started < started) {
            limit = new NamedLimit(started);
            limits.put(id, limit);
        }
        if (limit.started > started || !observedAt.isAfter(limit.observedAt)) {
            return;
        }
        boolean changed = !limit.perSecond.equals(perSecond);
        limit.perSecond = perSecond;
        limit.observedAt = observedAt;
        if (changed) {
            nextUpdateAt = Instant.MIN;
            context.log(
                    perSecond.isPresent()
                            ? DecisionRecord.important(
                                    "endpoint-limit",
                                    "endpoint",
                                    id,
                                    "per-second",
                                    Double.toString(perSecond.getAsDouble()),
                                    "peer",
                                    source)
                            : DecisionRecord.important("endpoint-limit-ended", "endpoint", id, "peer", source));
        }
    }

    /** Returns what this host knows of limits, and its demand, for a heartbeat. */
    List<ReportedLimit> report() {
        return limits.entrySet().stream()
                .map(entry -> new ReportedLimit(
                        entry.getKey(),
                        entry.getValue().started,
                        entry.getValue().perSecond,
                        context.millisecondsSince(entry.getValue().observedAt),
                        demandFor(entry.getKey())))
                .toList();
    }

    private double demandFor(EndpointId id) {
        return view.endpoint(id)
                .map(endpoint -> demand.perSecond(endpoint.listing().service(), context.now()))
                .orElse(0.0);
    }

    /** Counts a request of this host's callers for a service. */
    void recordDemand(String service) {
        demand.record(service, context.now());
    }

    boolean isLimited(EndpointId endpoint) {
        NamedLimit limit = limits.get(endpoint);
        return limit != null && limit.perSecond.isPresent();
    }

    /** Returns the number of endpoints with a limit. */
    int count() {
        return (int) limits.keySet().stream().filter(this::isLimited).count();
    }

    /** Returns whether this host's part of the endpoint's limit leaves room for a request now. */
    boolean allowsRequest(EndpointState endpoint) {
        return !context.now().isBefore(nextRequestAt(endpoint));
    }

    private Instant nextRequestAt(EndpointState endpoint) {
        NamedLimit limit = limits.get(endpoint.id());
        if (limit == null
                || limit.perSecond.isEmpty()
                || limit.started != endpoint.listing().started()) {
            return Instant.MIN;
        }
        update();
        return limit.pacer.nextRequestAt();
    }

    /** Counts a request that is sent to an endpoint. */
    void recordRequest(EndpointState endpoint) {
        if (isLimited(endpoint.id())) {
            limits.get(endpoint.id()).pacer.recordRequest(context.now());
        }
    }

    /**
     * Returns when a request may be sent to one of the endpoints that a limit keeps from being used; empty if there is
     * none, {@link Instant#MAX} if this host has no part of their limits.
     */
    Optional<Instant> soonestRequest(Collection<EndpointState> endpoints) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.acceptsRequests(context.now()) && !allowsRequest(endpoint))
                .map(this::nextRequestAt)
                .min(Instant::compareTo);
    }

    void tick() {
        limits.entrySet().removeIf(entry -> isObsolete(entry.getKey(), entry.getValue()));
        update();
    }

    private boolean isObsolete(EndpointId id, NamedLimit limit) {
        Duration age = Duration.between(limit.observedAt, context.now());
        Optional<EndpointState> endpoint = view.endpoint(id);
        return limit.perSecond.isEmpty() && age.compareTo(ENDED_RETENTION) > 0
                || endpoint.isEmpty() && age.compareTo(UNLISTED_RETENTION) > 0
                || endpoint.filter(known -> known.listing().started() > limit.started)
                        .isPresent();
    }

    private void update() {
        if (context.now().isBefore(nextUpdateAt)) {
            return;
        }
        nextUpdateAt = context.now().plus(UPDATE_INTERVAL);
        List<HostId> live = limits.isEmpty() ? List.of() : peers.live(context.now());
        limits.forEach((id, limit) -> {
            if (limit.perSecond.isPresent()) {
                limit.demands.put(self, demandFor(id));
                limit.demands.keySet().retainAll(live);
                double rate = Math.max(MINIMUM_PER_SECOND, limit.perSecond.getAsDouble());
                limit.pacer.setShare(LimitShares.shareOf(self, id, rate, limit.demands), limit.observedAt);
            }
        });
    }
}
