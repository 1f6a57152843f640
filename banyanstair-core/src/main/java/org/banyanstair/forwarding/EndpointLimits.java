package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;

import org.banyanstair.limits.DemandEstimator;
import org.banyanstair.limits.LimitShares;
import org.banyanstair.limits.LoanRequests;
import org.banyanstair.limits.RequestPacer;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.ReportedLimit;

/**
 * The limits that endpoints have named of the requests that they take from all hosts together, and the part of them
 * that this host may use.
 *
 * <p>All hosts report in their heartbeats the newest response of each limited endpoint and their own demand, and derive
 * the same parts from that. A host without room asks those that have larger parts for single requests. Not thread-safe.
 */
final class EndpointLimits {
    /** Time for which the end of a limit is reported; many heartbeats. */
    private static final Duration ENDED_RETENTION = Duration.ofSeconds(10);

    /** Time for which a limit is kept of an endpoint that is not listed. */
    private static final Duration UNLISTED_RETENTION = Duration.ofMinutes(1);

    private static final Duration UPDATE_INTERVAL = Duration.ofMillis(250);

    /** Rate at which an endpoint with a lower limit is asked whether it still names one. */
    private static final double MINIMUM_PER_SECOND = 0.25;

    /** Time for which a request waits for a lender's answer, in a deployment without relays. */
    private static final Duration LOAN_TIMEOUT = Duration.ofMillis(250);

    private static final Duration RELAYED_LOAN_TIMEOUT = Duration.ofMillis(500);

    /** Messages to lenders for one request; a loan lapses while an adapter is loaded. */
    private static final int MAXIMUM_LOAN_REQUESTS = 3;

    /** Endpoints that are named to a lender. */
    private static final int MAXIMUM_LOAN_ENDPOINTS = 8;

    /** Wait that a lender without a part of the limits names. */
    private static final Duration NO_PART_WAIT = Duration.ofSeconds(1);

    private final EventContext context;
    private final HostId self;
    private final PlatformView view;
    private final PeerTable peers;
    private final PeerMessenger messenger;
    private final LoanRequests loans = new LoanRequests();
    private final DemandEstimator demand = new DemandEstimator();
    private final Map<EndpointId, NamedLimit> limits = new TreeMap<>();
    private Instant nextUpdateAt = Instant.MIN;

    private static final class NamedLimit {
        private final long started;
        private OptionalDouble perSecond = OptionalDouble.empty();
        private Instant observedAt = Instant.MIN;
        private final Map<HostId, Double> demands = new HashMap<>();
        private final Set<HostId> lenders = new HashSet<>();
        private LimitShares.Division division = new LimitShares.Division(List.of(), 0, false);
        private final RequestPacer pacer = new RequestPacer();

        NamedLimit(long started) {
            this.started = started;
        }
    }

    EndpointLimits(EventContext context, HostId self, PlatformView view, PeerTable peers, PeerMessenger messenger) {
        this.context = context;
        this.self = self;
        this.view = view;
        this.peers = peers;
        this.messenger = messenger;
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
            NamedLimit limit = limits.get(report.endpoint());
            limit.demands.put(peer, report.demandPerSecond());
            if (report.lends()) {
                limit.lenders.add(peer);
            } else {
                limit.lenders.remove(peer);
            }
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
                        demandFor(entry.getKey()),
                        true))
                .toList();
    }

    private double demandFor(EndpointId id) {
        return demand.perSecond(serviceOf(id), context.now());
    }

    /** Returns the service of an endpoint; empty text if the endpoint is not listed. */
    private String serviceOf(EndpointId id) {
        return view.endpoint(id).map(endpoint -> endpoint.listing().service()).orElse("");
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

    /** Returns whether this host's part of the endpoint's limit, or a loan, leaves room for a request now. */
    boolean allowsRequest(EndpointState endpoint) {
        return !context.now().isBefore(nextRequestAt(endpoint))
                || loans.allowsRequest(endpoint.id(), endpoint.listing().started(), context.now());
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
            RequestPacer pacer = limits.get(endpoint.id()).pacer;
            boolean borrowed = context.now().isBefore(pacer.nextRequestAt())
                    && loans.use(endpoint.id(), endpoint.listing().started(), context.now());
            if (!borrowed) {
                pacer.recordRequest(context.now());
            }
        }
    }

    /**
     * Returns when a request may be sent to one of the endpoints that a limit keeps from being used; empty if there is
     * none, {@link Instant#MAX} if this host has no part of their limits.
     */
    Optional<Instant> soonestRequest(Collection<EndpointState> endpoints) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.acceptsRequests(context.now()) && !allowsRequest(endpoint))
                .map(endpoint -> isLent(endpoint) ? nextLoanAt(endpoint) : nextRequestAt(endpoint))
                .min(Instant::compareTo);
    }

    private Instant nextLoanAt(EndpointState endpoint) {
        Instant own = nextRequestAt(endpoint);
        Instant borrowed = loans.nextRequestAt(context.now()).orElse(context.now());
        return borrowed.isBefore(own) ? borrowed : own;
    }

    private boolean isLent(EndpointState endpoint) {
        return isLimited(endpoint.id()) && limits.get(endpoint.id()).division.lend();
    }

    /**
     * Asks another host for one request from its part of a limit; returns whether a request waits for that now.
     *
     * @param endpoints endpoints that may run the request
     */
    boolean borrow(InFlightRequest inFlight, Collection<EndpointState> endpoints) {
        List<EndpointState> usable = endpoints.stream()
                .filter(endpoint -> endpoint.acceptsRequests(context.now()))
                .toList();
        List<EndpointId> lent =
                usable.stream().filter(this::isLent).map(EndpointState::id).toList();
        if (lent.isEmpty()
                || usable.stream().anyMatch(this::allowsRequest)
                || inFlight.loanRequests == MAXIMUM_LOAN_REQUESTS) {
            return false;
        }
        LimitShares.Division division = limits.get(lent.get(0)).division;
        Instant timeout = context.now().plus(peers.isLargeDeployment() ? RELAYED_LOAN_TIMEOUT : LOAN_TIMEOUT);
        Instant deadline = timeout.isBefore(inFlight.firstOutputDeadline()) ? timeout : inFlight.firstOutputDeadline();
        Optional<HostId> lender = loans.begin(
                inFlight.request.exchange(),
                division.hosts().stream().filter(host -> !host.equals(self)).toList(),
                division.candidates(),
                deadline,
                context.now());
        lender.ifPresent(host -> {
            inFlight.loanRequests++;
            context.log(DecisionRecord.of("limit-loan-requested", "request", inFlight.request.id(), "lender", host));
            messenger.send(
                    host,
                    new PeerMessage.LoanRequest(
                            inFlight.request.exchange(),
                            lent.subList(0, Math.min(lent.size(), MAXIMUM_LOAN_ENDPOINTS))));
        });
        return lender.isPresent();
    }

    /** Returns whether a request still waits for a lender's answer. */
    boolean awaitsLoan(InFlightRequest inFlight) {
        return loans.isPending(inFlight.request.exchange(), context.now());
    }

    /** Answers a peer that asks for a request from this host's parts. */
    void lend(HostId peer, PeerMessage.LoanRequest request) {
        update();
        Optional<Map.Entry<EndpointId, NamedLimit>> soonest = limits.entrySet().stream()
                .filter(entry -> request.endpoints().contains(entry.getKey()) && isLimited(entry.getKey()))
                .min(Comparator.comparing(entry -> entry.getValue().pacer.nextRequestAt()));
        Instant readyAt =
                soonest.map(entry -> entry.getValue().pacer.nextRequestAt()).orElse(Instant.MAX);
        if (!context.now().isBefore(readyAt)) {
            NamedLimit limit = soonest.orElseThrow().getValue();
            limit.pacer.recordRequest(context.now());
            EndpointId endpoint = soonest.orElseThrow().getKey();
            context.log(DecisionRecord.of("limit-loan-granted", "endpoint", endpoint, "peer", peer));
            messenger.send(peer, new PeerMessage.LoanGranted(request.id(), endpoint, limit.started));
        } else {
            long wait = readyAt.equals(Instant.MAX) ? NO_PART_WAIT.toMillis() : -context.millisecondsSince(readyAt);
            messenger.send(peer, new PeerMessage.LoanRefused(request.id(), wait));
        }
    }

    /** Applies a lender's grant. */
    void loanGranted(HostId lender, PeerMessage.LoanGranted granted) {
        loans.granted(granted.id(), lender, granted.endpoint(), granted.started(), context.now());
    }

    /** Applies a lender's refusal. */
    void loanRefused(HostId lender, PeerMessage.LoanRefused refused) {
        Instant readyAt = context.now().plusMillis(refused.waitMilliseconds());
        loans.refused(refused.id(), lender, readyAt, context.now());
    }

    void tick() {
        loans.expire(context.now());
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
                limit.lenders.add(self);
                boolean lending = limit.lenders.containsAll(limit.demands.keySet());
                limit.division = LimitShares.divide(id, serviceOf(id), rate, limit.demands, lending);
                limit.pacer.setShare(LimitShares.shareOf(self, rate, limit.demands, limit.division), limit.observedAt);
            }
        });
    }
}
