package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.banyanstair.locality.DataCentreLoad;
import org.banyanstair.locality.LocalityPolicy;
import org.banyanstair.locality.LocalitySettings;

/**
 * Applies the {@link LocalityPolicy} of each service to the endpoints that can take a request.
 *
 * <p>Random values come from a generator that is seeded with the name of the host, so hosts that know the same choose
 * differently. Not thread-safe.
 */
final class DataCentreChooser {
    /** Time between two updates of the policies; usage reports arrive every 30 to 100 ms. */
    private static final Duration UPDATE_INTERVAL = Duration.ofMillis(50);

    /** Change of a share since its last log line that is worth another one. */
    private static final double LOGGED_CHANGE = 0.25;

    /** Minimum time between two log lines for a service. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    /** Bytes of a token in requests and answers, for the price of sending it to another data centre. */
    private static final double KILOBYTES_PER_TOKEN = 0.004;

    /** Least size of a request with its answer, mostly headers. */
    private static final double MINIMUM_KILOBYTES = 1;

    /** Excess of failures over other endpoints at which an endpoint is left out. */
    private static final double FAILING_SHARE = 0.2;

    /** Share of requests that may go to failing endpoints, so that a recovery is noticed. */
    private static final double PROBE_SHARE = 0.05;

    private static final Comparator<EndpointSelection> BY_START =
            Comparator.comparingDouble(EndpointSelection::startMilliseconds);

    private final EventContext context;
    private final LocalitySettings settings;
    private final String home;
    private final PlatformView view;
    private final PeerTable peers;
    private final SplittableRandom random;
    private final Map<String, Long> sent = new TreeMap<>();
    private final Map<String, ServiceState> services = new TreeMap<>();
    private final EndpointSelector estimator;
    private Instant nextUpdateAt = Instant.MIN;

    private static final class ServiceState {
        private final LocalityPolicy policy;
        private OptionalDouble runMilliseconds = OptionalDouble.empty();
        private double leastFailures;
        private double loggedShare;
        private Instant nextLogAt = Instant.MIN;

        ServiceState(LocalityPolicy policy) {
            this.policy = policy;
        }
    }

    DataCentreChooser(EventContext context, ForwardingSettings settings, PlatformView view, PeerTable peers) {
        this.context = context;
        this.settings = settings.locality();
        this.home = settings.announcement().dataCentre();
        this.view = view;
        this.peers = peers;
        this.estimator = new EndpointSelector(settings.identity().host(), home, this, peers);
        this.random = new SplittableRandom(settings.identity().host().value().hashCode());
    }

    boolean isEnabled() {
        return settings.enabled();
    }

    /**
     * Chooses the runner with the lowest estimate for a request, where one in another data centre has to gain its toll;
     * empty if there are none.
     *
     * <p>A share of requests that may leave, as for plain services, would take from runners the spreading of load that
     * keeps prompts short: cached prompts and loaded adapters are on few runners, in any data centre.
     */
    Optional<EndpointSelection> chooseRunner(SelectionQuery query, List<EndpointSelection> all, Instant now) {
        double toll = settings.tollMilliseconds(kilobytes(query.request()));
        Map<String, Boolean> reported = new HashMap<>();
        List<EndpointSelection> known = filter(
                all,
                selection -> isHome(selection.endpoint())
                        || reported.computeIfAbsent(
                                selection.endpoint().listing().dataCentre(),
                                dataCentre -> peers.isReported(dataCentre, now)));
        return (known.isEmpty() ? all : known)
                .stream()
                        .min(Comparator.comparingDouble(selection ->
                                selection.startMilliseconds() + (isHome(selection.endpoint()) ? 0 : toll)));
    }

    /** Chooses one of the plain endpoints that can take a request; empty if there are none. */
    Optional<EndpointSelection> choose(SelectionQuery query, List<EndpointSelection> all, Instant now) {
        if (all.isEmpty()) {
            return Optional.empty();
        }
        String service = all.get(0).endpoint().listing().service();
        List<EndpointSelection> allAtHome = filter(all, selection -> isHome(selection.endpoint()));
        Map<String, Boolean> current = new HashMap<>();
        List<EndpointSelection> allElsewhere = filter(
                all,
                selection -> !isHome(selection.endpoint())
                        && current.computeIfAbsent(
                                selection.endpoint().listing().dataCentre(),
                                dataCentre -> peers.isReported(dataCentre, now)));
        // A few requests go to failing endpoints, so that a recovery is noticed.
        boolean isProbe = random.nextDouble() < PROBE_SHARE;
        Predicate<EndpointSelection> reliable = selection -> isProbe || !isFailing(selection.endpoint(), now);
        List<EndpointSelection> elsewhere = filter(allElsewhere, reliable);
        List<EndpointSelection> reliableAtHome = filter(allAtHome, reliable);
        List<EndpointSelection> atHome = reliableAtHome.isEmpty() && elsewhere.isEmpty() ? allAtHome : reliableAtHome;
        if (atHome.isEmpty()) {
            List<EndpointSelection> known = elsewhere.isEmpty() ? allElsewhere : elsewhere;
            return Optional.of(spread(service, known.isEmpty() ? all : known));
        }
        EndpointSelection best = betterOfTwo(() -> drawWithin(atHome));
        double toll = settings.tollMilliseconds(kilobytes(query.request()));
        List<EndpointSelection> better =
                filter(elsewhere, selection -> selection.startMilliseconds() + toll < best.startMilliseconds());
        if (better.isEmpty()) {
            return Optional.of(best);
        }
        double limit = query.latestStartMilliseconds();
        if (atHome.stream().allMatch(selection -> selection.startMilliseconds() > limit)) {
            List<EndpointSelection> inTime =
                    filter(better, selection -> selection.startMilliseconds() + longerWay() <= limit);
            if (!inTime.isEmpty()) {
                return Optional.of(spread(service, inTime));
            }
        }
        ServiceState state = services.get(service);
        return Optional.of(
                state != null && state.policy.mayLeave(random.nextDouble()) ? spread(service, better) : best);
    }

    /** Returns the share of failures of an endpoint beyond that of the most reliable one of its service. */
    double excessFailures(EndpointState endpoint, Instant now) {
        ServiceState state = services.get(endpoint.listing().service());
        double least = state == null ? 0 : state.leastFailures;
        return Math.max(0, endpoint.responses().failureShare(now) - least);
    }

    private boolean isFailing(EndpointState endpoint, Instant now) {
        return excessFailures(endpoint, now) >= FAILING_SHARE;
    }

    /**
     * Returns the milliseconds that a request of a plain service takes on an endpoint: as this host has seen there, or
     * else on the others.
     *
     * @param assumed value if this host has seen none
     */
    double runMilliseconds(EndpointState endpoint, double assumed, Instant now) {
        ServiceState state = services.get(endpoint.listing().service());
        OptionalDouble seenThere = endpoint.responses().medianMilliseconds(now);
        return seenThere.orElseGet(() -> state == null ? assumed : state.runMilliseconds.orElse(assumed));
    }

    private static List<EndpointSelection> filter(
            List<EndpointSelection> candidates, Predicate<EndpointSelection> predicate) {
        return candidates.stream().filter(predicate).toList();
    }

    private boolean isHome(EndpointState endpoint) {
        return home.equals(endpoint.listing().dataCentre());
    }

    private double longerWay() {
        return settings.longerWay().toMillis();
    }

    private static double kilobytes(ForwardRequest request) {
        return MINIMUM_KILOBYTES + KILOBYTES_PER_TOKEN * (request.inputTokens() + request.outputTokens());
    }

    /**
     * Chooses an endpoint of any of the data centres.
     *
     * @param candidates not empty
     */
    private EndpointSelection spread(String service, List<EndpointSelection> candidates) {
        return betterOfTwo(() -> draw(service, candidates));
    }

    /**
     * Returns the better one of two draws, so that hosts with the same reports do not all choose the same endpoint.
     *
     * <p>In a large deployment it is the only draw: over relays, reports are older than many requests take, and the
     * better one of two by old reports is often the worse one by now.
     */
    private EndpointSelection betterOfTwo(Supplier<EndpointSelection> drawing) {
        EndpointSelection first = drawing.get();
        if (peers.isLargeDeployment()) {
            return first;
        }
        EndpointSelection second = drawing.get();
        return BY_START.compare(second, first) < 0 ? second : first;
    }

    /** Draws a data centre in proportion to its room and then one of its endpoints, or else any endpoint. */
    private EndpointSelection draw(String service, List<EndpointSelection> candidates) {
        ServiceState state = services.get(service);
        Optional<String> destination = state == null ? Optional.empty() : state.policy.destination(random.nextDouble());
        List<EndpointSelection> there = destination.isEmpty()
                ? List.of()
                : filter(candidates, selection -> destination
                        .get()
                        .equals(selection.endpoint().listing().dataCentre()));
        return drawWithin(there.isEmpty() ? candidates : there);
    }

    /** Draws an endpoint, in a large deployment in inverse proportion to its start. */
    private EndpointSelection drawWithin(List<EndpointSelection> candidates) {
        if (!peers.isLargeDeployment()) {
            return candidates.get(random.nextInt(candidates.size()));
        }
        double remaining = random.nextDouble()
                * candidates.stream().mapToDouble(DataCentreChooser::weight).sum();
        int index = 0;
        while (index < candidates.size() - 1) {
            remaining -= weight(candidates.get(index));
            if (remaining < 0) {
                break;
            }
            index++;
        }
        return candidates.get(index);
    }

    private static double weight(EndpointSelection selection) {
        return 1 / Math.max(1, selection.startMilliseconds());
    }

    void recordSent(EndpointState endpoint) {
        sent.merge(endpoint.listing().dataCentre(), 1L, Long::sum);
    }

    /** Returns the attempts of this host by the data centre of their endpoint. */
    Map<String, Long> sentByDataCentre() {
        return sent;
    }

    /** Returns the share of requests that may leave, by service; empty if the policy is not enabled. */
    Map<String, Double> leavingShares() {
        Map<String, Double> result = new TreeMap<>();
        services.forEach((service, state) -> result.put(service, state.policy.share()));
        return result;
    }

    /** Updates the policies of all services. */
    void tick() {
        Instant now = context.now();
        if (!isEnabled() || now.isBefore(nextUpdateAt) || view.configuration().isEmpty()) {
            return;
        }
        nextUpdateAt = now.plus(UPDATE_INTERVAL);
        ForwardingConfiguration configuration = view.configuration().get();
        Map<String, Duration> objectives = new TreeMap<>(configuration.objectives());
        objectives.keySet().removeIf(service -> configuration
                .service(service)
                .flatMap(ServiceDefinition::engine)
                .isPresent());
        services.keySet().retainAll(objectives.keySet());
        objectives.forEach((service, objective) -> update(service, objective, now));
    }

    private void update(String service, Duration objective, Instant now) {
        ServiceState state =
                services.computeIfAbsent(service, name -> new ServiceState(new LocalityPolicy(home, settings)));
        learn(state, view.endpointsOf(service), now);
        state.policy.update(loads(service, objective, now), objective, now);
        double share = state.policy.share();
        boolean changed = Math.abs(share - state.loggedShare) >= LOGGED_CHANGE || share == 0 && state.loggedShare > 0;
        if (changed && !now.isBefore(state.nextLogAt)) {
            context.log(DecisionRecord.important(
                    "leaving-share",
                    "service",
                    service,
                    "share",
                    Math.round(share * 100) / 100.0,
                    "before",
                    Math.round(state.loggedShare * 100) / 100.0));
            state.loggedShare = share;
            state.nextLogAt = now.plus(LOG_INTERVAL);
        }
    }

    /** Derives what endpoints have in common from those that this host has used lately. */
    private static void learn(ServiceState state, List<EndpointState> endpoints, Instant now) {
        List<Double> times = new ArrayList<>();
        state.leastFailures = 1;
        for (EndpointState endpoint : endpoints) {
            if (endpoint.acceptsRequests(now)) {
                endpoint.responses().medianMilliseconds(now).ifPresent(times::add);
                state.leastFailures =
                        Math.min(state.leastFailures, endpoint.responses().failureShare(now));
            }
        }
        state.runMilliseconds = median(times);
    }

    private List<DataCentreLoad> loads(String service, Duration objective, Instant now) {
        Map<String, List<Double>> starts = new TreeMap<>();
        Map<String, Double> capacities = new HashMap<>();
        Map<String, Double> demands = new HashMap<>();
        for (EndpointState endpoint : view.endpointsOf(service)) {
            endpoint.forEachUse((host, use) -> {
                String dataCentre = peers.dataCentre(host);
                demands.merge(dataCentre, (double) use.running(), Double::sum);
                starts.computeIfAbsent(dataCentre, name -> new ArrayList<>());
            });
            if (endpoint.acceptsRequests(now) && !isFailing(endpoint, now)) {
                String dataCentre = endpoint.listing().dataCentre();
                starts.computeIfAbsent(dataCentre, name -> new ArrayList<>())
                        .add(estimator.plainCost(endpoint, objective, now));
                capacities.merge(dataCentre, (double) endpoint.listing().slots(), Double::sum);
            }
        }
        starts.computeIfAbsent(home, name -> new ArrayList<>());
        List<DataCentreLoad> result = new ArrayList<>();
        starts.forEach((dataCentre, values) -> result.add(new DataCentreLoad(
                dataCentre,
                median(values),
                demands.getOrDefault(dataCentre, 0.0),
                capacities.getOrDefault(dataCentre, 0.0),
                peers.isReported(dataCentre, now))));
        return result;
    }

    private static OptionalDouble median(List<Double> values) {
        if (values.isEmpty()) {
            return OptionalDouble.empty();
        }
        values.sort(null);
        int middle = values.size() / 2;
        return OptionalDouble.of(
                values.size() % 2 == 1 ? values.get(middle) : (values.get(middle - 1) + values.get(middle)) / 2);
    }
}
