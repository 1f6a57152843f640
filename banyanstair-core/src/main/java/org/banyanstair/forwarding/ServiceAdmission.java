package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.banyanstair.fairness.FairShares;
import org.banyanstair.fairness.LocalTeamDemand;
import org.banyanstair.fairness.RateAverage;
import org.banyanstair.fairness.ShareCredit;
import org.banyanstair.fairness.TeamDemand;
import org.banyanstair.fairness.TeamWeights;
import org.banyanstair.fairness.WaitingTurn;
import org.banyanstair.model.HostId;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamName;
import org.banyanstair.teams.TeamTable;

/**
 * Decides which requests are admitted to a full service, and in which order those that wait are served; in a deployment
 * without teams it does nothing. Not thread-safe.
 */
final class ServiceAdmission {
    /** Time between two divisions of the throughput of a full service, that of usage reports. */
    private static final Duration SHARES_INTERVAL = Duration.ofMillis(100);

    /** Time until the usage reports of all hosts have arrived, over relays in a large deployment. */
    private static final Duration RELAYED_REPORT_TIME = Duration.ofMillis(200);

    private static final Duration REPORT_TIME = Duration.ofMillis(36);

    private static final Duration REPORT_TIME_PER_PEER = Duration.ofMillis(5);

    /** Part of the slots above which free ones are enough for all hosts, whatever happened since the last reports. */
    private static final double AMPLE_PART = 0.25;

    /**
     * Part of the objective at which the backlog of a plain service counts as full; below {@link #HOLD_PART}, so that a
     * team above its share is limited before requests of the others are refused.
     */
    private static final double FULL_OBJECTIVE_PART = 0.2;

    /** Part of the objective for which a request may wait even if the service is too slow for its objective. */
    private static final double LEAST_WAIT_PART = 0.25;

    /** Part of the time that a request may wait which its expected wait may take; later requests may pass it. */
    private static final double HOLD_PART = 0.5;

    /** Part of the throughput that is divided; the rest clears the requests that wait. */
    private static final double ADMITTED_PART = 0.95;

    /**
     * Requests of a host that its part of the slots serves within the objective, below which requests do not wait on the
     * host: its turns would be so far apart that it refuses requests while other hosts leave theirs unused.
     */
    private static final double LEAST_TURNS = 8;

    /** The same where requests do not wait on hosts: the short queues of the endpoints alone absorb chance. */
    private static final double ADMITTED_WITHOUT_TURNS = 0.8;

    /**
     * Standard deviations by which the demand of a team has to exceed its share for the team to be limited; the requests
     * of about one second are counted, which vary by chance.
     */
    private static final double DEMAND_DEVIATIONS = 1.5;

    /** Pause of an endpoint for which a request waits, longer than that of an endpoint that reported that it is full. */
    private static final Duration SHORT_PAUSE = Duration.ofMillis(50);

    /** Teams whose counts are kept, for a bounded number of metrics. */
    private static final int MAXIMUM_COUNTED_TEAMS = 100;

    private final EventContext context;
    private final HostId self;
    private final PlatformView view;
    private final PeerTable peers;
    private final LocalTeamDemand ownDemand = new LocalTeamDemand();
    private final TeamDemand demand;
    private final Map<String, ServiceLoad> services = new TreeMap<>();
    private final Map<TeamName, AdmissionStatus.TeamStatus> counts = new HashMap<>();
    private TeamTable weightedTeams = TeamTable.NONE;
    private TeamWeights weights = new TeamWeights(TeamTable.NONE);

    ServiceAdmission(EventContext context, HostId self, PlatformView view, PeerTable peers) {
        this.context = context;
        this.self = self;
        this.view = view;
        this.peers = peers;
        this.demand = ownDemand.scaledBy(this::liveHosts);
    }

    /** Returns whether the deployment has teams. */
    boolean isActive() {
        return view.configuration()
                .filter(configuration -> !configuration.teams().isEmpty())
                .isPresent();
    }

    /** Returns the weights of the teams in force. */
    TeamWeights weights() {
        TeamTable teams =
                view.configuration().map(ForwardingConfiguration::teams).orElse(TeamTable.NONE);
        if (teams != weightedTeams) {
            weightedTeams = teams;
            weights = new TeamWeights(teams);
        }
        return weights;
    }

    static TeamName teamOf(InFlightRequest inFlight) {
        return inFlight.team.map(Team::name).orElse(TeamWeights.NO_TEAM);
    }

    private double tokens(InFlightRequest inFlight) {
        return weights().tokens(inFlight.request.inputTokens(), inFlight.request.outputTokens());
    }

    private ServiceLoad load(InFlightRequest inFlight) {
        return services.computeIfAbsent(
                inFlight.service.name(),
                name -> new ServiceLoad(31L * self.value().hashCode() + name.hashCode()));
    }

    private int liveHosts() {
        return peers.live(context.now()).size();
    }

    /**
     * Counts a request as demand of its team; returns whether it is refused because the service is full and its team
     * has had its share.
     */
    boolean exceedsShare(InFlightRequest inFlight) {
        if (!isActive()) {
            return false;
        }
        Instant now = context.now();
        TeamName team = teamOf(inFlight);
        ServiceLoad load = load(inFlight);
        load.recordRank(inFlight.route.rank());
        ownDemand.record(inFlight.service.name(), team, tokens(inFlight), now);
        count(inFlight, 1, 0, 0, Duration.ZERO);
        if (inFlight.service.engine().isPresent()) {
            // What runners could serve is known only from what they run, so a share of it keeps teams from what is
            // free.
            return false;
        }
        checkReportedLoad(inFlight, load);
        if (!load.isFull()) {
            return false;
        }
        updateShares(inFlight, load);
        Double share = load.shares.get(team);
        double requested = demand.tokensPerSecond(inFlight.service.name(), now).getOrDefault(team, 0.0);
        double own = ownDemand.tokensPerSecond(inFlight.service.name(), now).getOrDefault(team, 0.0);
        double counted = requested * demand.countedPart() / tokens(inFlight);
        double certain = requested * Math.max(0, 1 - DEMAND_DEVIATIONS / Math.sqrt(counted));
        if (share == null || certain <= share) {
            return false;
        }
        return !load.credits
                .computeIfAbsent(team, name -> new ShareCredit())
                .admit(share * Math.min(1, own / requested), tokens(inFlight), now);
    }

    private void updateShares(InFlightRequest inFlight, ServiceLoad load) {
        ServiceDefinition service = inFlight.service;
        Instant now = context.now();
        if (now.isBefore(load.nextSharesAt)) {
            return;
        }
        load.nextSharesAt = now.plus(SHARES_INTERVAL);
        TeamWeights teamWeights = weights();
        double capacity = load.capacity(concurrency(service), now);
        if (capacity == 0) {
            return;
        }
        double admitted = capacity * (takesTurns(inFlight, load) ? ADMITTED_PART : ADMITTED_WITHOUT_TURNS);
        Map<TeamName, FairShares.Claim> claims = new TreeMap<>();
        demand.tokensPerSecond(service.name(), now).forEach((team, requested) -> {
            int rank = weightedTeams
                    .find(team)
                    .map(known -> known.rank().orElse(load.mostUrgentRank()))
                    .orElse(load.mostUrgentRank());
            claims.put(team, new FairShares.Claim(rank, teamWeights.weight(team), requested));
        });
        load.divide(admitted, claims);
        double requested =
                claims.values().stream().mapToDouble(FairShares.Claim::demand).sum();
        if (requested > admitted) {
            load.stayFull(now);
        }
    }

    private List<EndpointState> usableEndpoints(ServiceDefinition service) {
        return view.endpointsOf(service.name()).stream()
                .filter(endpoint -> endpoint.acceptsRequests(context.now()))
                .toList();
    }

    private int slots(ServiceDefinition service) {
        return usableEndpoints(service).stream()
                .mapToInt(endpoint -> endpoint.listing().slots())
                .sum();
    }

    private int running(ServiceDefinition service) {
        return usableEndpoints(service).stream()
                .mapToInt(EndpointState::running)
                .sum();
    }

    /**
     * Returns how many requests the endpoints hold when the service is full. The measured time of a request includes its
     * time in the queue of the endpoint, so queued requests count too.
     */
    private int concurrency(ServiceDefinition service) {
        return Math.max(slots(service), running(service));
    }

    private void markFull(InFlightRequest inFlight, ServiceLoad load, double milliseconds) {
        if (load.markFull(context.now())) {
            context.log(DecisionRecord.important(
                    "service-full",
                    "service",
                    inFlight.service.name(),
                    "expected-start-ms",
                    (long) milliseconds,
                    "waiting",
                    load.held.size(),
                    "running",
                    running(inFlight.service),
                    "slots",
                    slots(inFlight.service)));
        }
    }

    /** Returns whether a request for a plain service has to wait on this host, because others do or no slot is free. */
    boolean mustWait(InFlightRequest inFlight) {
        if (!isActive() || inFlight.service.engine().isPresent()) {
            return false;
        }
        ServiceLoad load = load(inFlight);
        boolean othersWait = !inFlight.waitsForSlot && !load.held.isEmpty();
        return othersWait || takesTurns(inFlight, load) && !hasSlot(inFlight.service, load);
    }

    /** Returns whether this host's part of the slots that become free is large enough for requests to wait for it. */
    private boolean takesTurns(InFlightRequest inFlight, ServiceLoad load) {
        double seconds = inFlight.route.objective().toMillis() / 1000.0;
        int hosts = liveHosts();
        return hosts == 1
                || !load.hasRun()
                || load.requestsPerSecond(slots(inFlight.service)) / hosts * seconds >= LEAST_TURNS;
    }

    /** Records that a plain service is full according to the reports of all hosts, where requests do not wait. */
    private void checkReportedLoad(InFlightRequest inFlight, ServiceLoad load) {
        if (!load.hasRun()) {
            return;
        }
        int slots = slots(inFlight.service);
        double free = load.averageFree(slots - running(inFlight.service), context.now());
        if (slots > 0 && free <= 0 && !takesTurns(inFlight, load)) {
            markFull(inFlight, load, (1 - free) * 1000 / load.requestsPerSecond(slots));
        }
    }

    private boolean hasSlot(ServiceDefinition service, ServiceLoad load) {
        int slots = slots(service);
        int free = slots - running(service);
        int hosts = liveHosts();
        if (slots == 0) {
            return view.endpointsOf(service.name()).stream()
                    .noneMatch(endpoint -> endpoint.isPausedBriefly(context.now(), SHORT_PAUSE));
        }
        if (!load.hasRun() || free > AMPLE_PART * slots) {
            return free > 0;
        }
        if (hosts == 1 || load.held.isEmpty()) {
            return free > 0;
        }
        Duration reportTime = peers.isLargeDeployment()
                ? RELAYED_REPORT_TIME
                : REPORT_TIME.plus(REPORT_TIME_PER_PEER.multipliedBy(peers.size()));
        // One queued request at each endpoint keeps its slots in use until the next report.
        int room = free + usableEndpoints(service).size();
        double drain = load.requestsPerSecond(Math.max(slots, slots - free));
        load.pacer.advance(hostPart(load), drain, room, reportTime, context.now());
        return load.pacer.allowsRequest();
    }

    /** Returns the part of this host among those on which requests wait. */
    private double hostPart(ServiceLoad load) {
        return 1 / Math.max(1, liveHosts() * load.waitingPart(context.now()));
    }

    /**
     * Lets a request wait on this host; returns the milliseconds that it would have to wait if it cannot be in time, in
     * which case it does not wait, and empty otherwise.
     */
    Optional<Double> hold(InFlightRequest inFlight) {
        ServiceLoad load = load(inFlight);
        Instant now = context.now();
        double wait = expectedWait(inFlight, load);
        double backlog = backlogMilliseconds(inFlight, load);
        if (backlog > inFlight.route.objective().toMillis() * FULL_OBJECTIVE_PART) {
            markFull(inFlight, load, backlog);
        }
        Instant expectedStart = now.plusNanos((long) (wait / HOLD_PART * 1e6));
        if (expectedStart.isAfter(latestStart(inFlight))) {
            return Optional.of(wait);
        }
        if (load.held.isEmpty()) {
            load.waitingPart(now);
            load.pacer.start(load.spread.nextPosition(), now);
        }
        inFlight.waitsForSlot = true;
        load.held.put(inFlight.request.exchange(), inFlight);
        return Optional.empty();
    }

    private double backlogMilliseconds(InFlightRequest inFlight, ServiceLoad load) {
        return (load.held.size() + 1) * millisecondsPerRequest(inFlight.service, load);
    }

    private double millisecondsPerRequest(ServiceDefinition service, ServiceLoad load) {
        double perSecond = load.requestsPerSecond(concurrency(service)) * hostPart(load);
        return perSecond > 0 ? 1000 / perSecond : 0;
    }

    /** Returns the milliseconds until a request is served, with fair queueing behind those that wait already. */
    private double expectedWait(InFlightRequest inFlight, ServiceLoad load) {
        WaitingTurn<InFlightRequest> own = turn(inFlight, load);
        Map<TeamName, Double> ahead = new HashMap<>();
        Map<TeamName, Double> teamWeights = new HashMap<>();
        double tokens = 0;
        for (InFlightRequest other : load.held.values()) {
            WaitingTurn<InFlightRequest> turn = turn(other, load);
            if (turn.rank() < own.rank()) {
                tokens += turn.tokens();
            } else if (turn.rank() == own.rank()) {
                ahead.merge(turn.team(), turn.tokens(), Double::sum);
                teamWeights.put(turn.team(), turn.weight());
            }
        }
        double ownTokens = ahead.getOrDefault(own.team(), 0.0) + own.tokens();
        for (Map.Entry<TeamName, Double> other : ahead.entrySet()) {
            tokens += other.getKey().equals(own.team())
                    ? 0
                    : Math.min(other.getValue(), ownTokens * teamWeights.get(other.getKey()) / own.weight());
        }
        double requests = (tokens + ownTokens) / Math.max(1e-9, load.tokens());
        return load.hasRun() ? requests * millisecondsPerRequest(inFlight.service, load) : 0;
    }

    /** Returns when a request has to start; later it cannot be in time. */
    Instant latestStart(InFlightRequest inFlight) {
        Instant limit = inFlight.firstOutputDeadline();
        if (inFlight.attempts > 0) {
            return limit;
        }
        Instant due = inFlight.dueAt().isBefore(limit) ? inFlight.dueAt() : limit;
        Instant start = due.minusNanos((long) (load(inFlight).runMilliseconds() * 1e6));
        Instant least =
                inFlight.arrivedAt.plusMillis((long) (inFlight.route.objective().toMillis() * LEAST_WAIT_PART));
        Instant latest = start.isBefore(least) ? least : start;
        return latest.isBefore(limit) ? latest : limit;
    }

    private WaitingTurn<InFlightRequest> turn(InFlightRequest inFlight, ServiceLoad load) {
        TeamName team = teamOf(inFlight);
        return new WaitingTurn<>(
                inFlight,
                inFlight.rank(),
                team,
                load.weight(team, weights().weight(team)),
                tokens(inFlight),
                latestStart(inFlight));
    }

    /** Returns the requests that wait for a slot of a service. */
    Collection<InFlightRequest> held(ServiceDefinition service) {
        ServiceLoad load = services.get(service.name());
        return load == null ? List.of() : List.copyOf(load.held.values());
    }

    /** Returns waiting requests in the order in which they are to be served; unchanged without teams. */
    List<InFlightRequest> inOrder(Collection<InFlightRequest> waiting) {
        if (!isActive() || waiting.size() < 2) {
            return List.copyOf(waiting);
        }
        Map<ServiceLoad, List<WaitingTurn<InFlightRequest>>> byService = new LinkedHashMap<>();
        for (InFlightRequest inFlight : waiting) {
            ServiceLoad load = load(inFlight);
            byService.computeIfAbsent(load, key -> new ArrayList<>()).add(turn(inFlight, load));
        }
        List<InFlightRequest> result = new ArrayList<>();
        byService.forEach(
                (load, turns) -> load.order.order(turns, context.now()).forEach(turn -> result.add(turn.request())));
        return result;
    }

    /** Ends the waiting of a request that is about to be sent. */
    void takeSlot(InFlightRequest inFlight) {
        if (inFlight.waitsForSlot) {
            load(inFlight).pacer.recordRequest();
            release(inFlight);
        }
    }

    /** Records that a request is sent. */
    void sent(InFlightRequest inFlight) {
        if (!isActive()) {
            return;
        }
        ServiceLoad load = load(inFlight);
        List<WaitingTurn<InFlightRequest>> waiting =
                load.held.values().stream().map(other -> turn(other, load)).toList();
        load.order.served(turn(inFlight, load), waiting);
        if (inFlight.attempts <= 1) {
            count(inFlight, 0, 0, 0, Duration.between(inFlight.arrivedAt, context.now()));
        }
    }

    /** Records that an endpoint has run a request without a failure. */
    void answered(InFlightRequest inFlight) {
        if (isActive()) {
            load(inFlight).recordRun(Duration.between(inFlight.sentAt, context.now()), tokens(inFlight));
        }
    }

    /** Ends the waiting of a request for a slot. */
    void release(InFlightRequest inFlight) {
        if (inFlight.waitsForSlot) {
            inFlight.waitsForSlot = false;
            ServiceLoad load = load(inFlight);
            load.waitingPart(context.now());
            load.held.remove(inFlight.request.exchange());
        }
    }

    /**
     * Records a refusal; returns the delay before the caller's retry if the load of the service decides it, and empty
     * otherwise.
     */
    Optional<Duration> refused(InFlightRequest inFlight, RefusalReason reason) {
        boolean byShare = reason == RefusalReason.SHARE_EXCEEDED;
        if (!isActive() || !byShare && reason != RefusalReason.OVERLOADED) {
            return Optional.empty();
        }
        Instant now = context.now();
        ServiceLoad load = load(inFlight);
        TeamName team = teamOf(inFlight);
        count(inFlight, 0, byShare ? 1 : 0, byShare ? 0 : 1, Duration.ZERO);
        load.refusedByShare += byShare ? 1 : 0;
        load.refused.computeIfAbsent(team, name -> new RateAverage()).record(tokens(inFlight), now);
        double capacity = load.capacity(concurrency(inFlight.service), now);
        // What was refused in the last second returns; a team's requests return to its share.
        double returning = 0;
        for (Map.Entry<TeamName, RateAverage> each : load.refused.entrySet()) {
            returning +=
                    !byShare || each.getKey().equals(team) ? each.getValue().perSecond(now) : 0;
        }
        double waiting = 0;
        for (InFlightRequest other : load.held.values()) {
            waiting += byShare ? 0 : tokens(other);
        }
        double drain = byShare ? load.shares.getOrDefault(team, capacity) : capacity;
        return Optional.of(load.spread.next((returning + waiting) * liveHosts(), drain));
    }

    private void count(InFlightRequest inFlight, int requests, int byShare, int overloaded, Duration waited) {
        TeamName team = teamOf(inFlight);
        if (counts.containsKey(team) || counts.size() < MAXIMUM_COUNTED_TEAMS) {
            AdmissionStatus.TeamStatus old =
                    counts.getOrDefault(team, new AdmissionStatus.TeamStatus(0, 0, 0, Duration.ZERO));
            counts.put(
                    team,
                    new AdmissionStatus.TeamStatus(
                            old.requests() + requests,
                            old.refusedByShare() + byShare,
                            old.refusedOverloaded() + overloaded,
                            old.waited().plus(waited)));
        }
    }

    /** Ends the time in which services are full. */
    void tick() {
        services.forEach((name, load) -> load.endFull(context.now())
                .ifPresent(since -> context.log(DecisionRecord.important(
                        "service-not-full",
                        "service",
                        name,
                        "after-ms",
                        context.millisecondsSince(since),
                        "refused-by-share",
                        load.refusedByShare))));
    }

    AdmissionStatus status() {
        int full = (int) services.values().stream().filter(ServiceLoad::isFull).count();
        return new AdmissionStatus(full, counts);
    }
}
