package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;

import org.banyanstair.external.Topic;
import org.banyanstair.locality.LocalitySettings;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;

/** Simulates hosts and endpoints of a plain service in several data centres. Time advances in steps of 20 ms. */
final class DataCentreSimulation {
    static final Duration STEP = Duration.ofMillis(20);

    /** Requests that an endpoint runs at once; more wait in order of arrival. */
    static final int SLOTS = 6;

    private static final Duration MESSAGE_DELAY = Duration.ofMillis(20);

    /** Time until a connection to a dead endpoint fails. */
    private static final Duration REFUSAL_DELAY = Duration.ofMillis(2);

    private static final String PATH = "/safe/";

    private final Random random;
    private final Map<HostId, ReducerFixture> hosts = new LinkedHashMap<>();
    private final Map<HostId, String> dataCentres = new HashMap<>();
    private final Map<EndpointId, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, Double> rates = new LinkedHashMap<>();
    private final Map<String, Double> due = new HashMap<>();
    private final PriorityQueue<Scheduled> scheduled =
            new PriorityQueue<>(Comparator.comparing(Scheduled::at).thenComparing(Scheduled::order));
    private final Map<ExchangeKey, Instant> arrivedAt = new HashMap<>();
    private final Set<String> lost = new HashSet<>();
    private final List<Sent> sent = new ArrayList<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private BiPredicate<String, String> delivers = (from, to) -> true;
    private Instant now;
    private long orders;

    /** An attempt with the requests that its endpoint then has, none if it refuses the connection. */
    record Sent(Instant at, String from, EndpointId endpoint, String to, int load, boolean failed) {}

    /** End of a request of a data centre's callers. */
    record Outcome(Instant at, String dataCentre, boolean answered, Duration waited) {}

    private record ExchangeKey(HostId host, long exchange) {}

    private record Scheduled(Instant at, long order, Runnable action) {}

    private static final class Endpoint {
        private final String dataCentre;
        private final PriorityQueue<Instant> slotsFreeAt = new PriorityQueue<>();
        private double serviceMilliseconds = 100;
        private double failureShare;
        private int load;
        private boolean down;

        Endpoint(String dataCentre) {
            this.dataCentre = dataCentre;
            for (int slot = 0; slot < SLOTS; slot++) {
                slotsFreeAt.add(Instant.MIN);
            }
        }
    }

    /**
     * Creates hosts in data centres.
     *
     * @param endpointsIn data centre of each endpoint
     */
    DataCentreSimulation(List<String> names, int hostsInEach, List<String> endpointsIn, long seed) {
        random = new Random(seed);
        for (int index = 0; index < endpointsIn.size(); index++) {
            endpoints.put(new EndpointId("plain-" + index), new Endpoint(endpointsIn.get(index)));
        }
        for (String name : names) {
            rates.put(name, 0.0);
            for (int index = 0; index < hostsInEach; index++) {
                HostId host = new HostId("host-" + name + "-" + index);
                dataCentres.put(host, name);
                hosts.put(
                        host, new ReducerFixture(host, 1, Instant.ofEpochSecond(100), name, LocalitySettings.ENABLED));
            }
        }
        now = hosts.values().iterator().next().now();
        hosts.forEach(this::prepare);
        pass(Duration.ofSeconds(2));
    }

    private void prepare(HostId host, ReducerFixture fixture) {
        fixture.configure(1, ReducerFixture.route(PATH, ReducerFixture.PLAIN_SERVICE, false, true, false));
        endpoints.forEach((id, endpoint) ->
                fixture.endpointIn(endpoint.dataCentre, id.value(), ReducerFixture.PLAIN_SERVICE, false, 1));
        for (HostId other : hosts.keySet()) {
            if (!other.equals(host)) {
                fixture.publish(
                        Topic.HOSTS,
                        other.value(),
                        new DecodedRecord.HostAnnounced(new HostAnnouncement(
                                other,
                                1,
                                NetworkAddress.parse("10.0.0.1:80"),
                                NetworkAddress.parse("10.0.0.1:81"),
                                dataCentres.get(other),
                                1)));
            }
        }
    }

    /** Sets the requests a second of a data centre's callers. */
    void setRate(String dataCentre, double perSecond) {
        rates.put(dataCentre, perSecond);
    }

    void setFailureShare(EndpointId endpoint, double share) {
        endpoints.get(endpoint).failureShare = share;
    }

    void setServiceTime(EndpointId endpoint, double milliseconds) {
        endpoints.get(endpoint).serviceMilliseconds = milliseconds;
    }

    /** Lets an endpoint refuse connections while its registry entry stays. */
    void stop(EndpointId endpoint) {
        endpoints.get(endpoint).down = true;
    }

    /** Ends the hosts and endpoints of a data centre without notice. */
    void lose(String dataCentre) {
        lost.add(dataCentre);
        rates.put(dataCentre, 0.0);
        endpoints.values().stream()
                .filter(endpoint -> endpoint.dataCentre.equals(dataCentre))
                .forEach(endpoint -> endpoint.down = true);
    }

    /** Sets which messages arrive, by the data centres of sender and receiver. */
    void setDelivery(BiPredicate<String, String> predicate) {
        delivers = predicate;
    }

    Instant now() {
        return now;
    }

    List<EndpointId> endpoints() {
        return List.copyOf(endpoints.keySet());
    }

    List<Sent> sentSince(Instant start) {
        return sent.stream().filter(each -> !each.at().isBefore(start)).toList();
    }

    List<Outcome> outcomesSince(Instant start) {
        return outcomes.stream().filter(each -> !each.at().isBefore(start)).toList();
    }

    /** Returns the mean share of requests that may leave over the hosts of a data centre. */
    double leavingShare(String dataCentre) {
        return hosts.entrySet().stream()
                .filter(entry -> dataCentres.get(entry.getKey()).equals(dataCentre))
                .mapToDouble(entry -> entry.getValue()
                        .reducer()
                        .status(now)
                        .leavingShares()
                        .getOrDefault(ReducerFixture.PLAIN_SERVICE, 0.0))
                .average()
                .orElse(0);
    }

    void pass(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            step();
        }
    }

    private void step() {
        now = now.plus(STEP);
        hosts.forEach((host, fixture) -> {
            if (!isLost(host)) {
                run(host, fixture.pass(STEP));
            }
        });
        while (!scheduled.isEmpty() && !scheduled.peek().at().isAfter(now)) {
            scheduled.poll().action().run();
        }
        rates.forEach((dataCentre, rate) -> {
            // Exponential gaps between arrivals, so that requests come in bursts as those of many callers do.
            double until = due.getOrDefault(dataCentre, 0.0) - STEP.toMillis() / 1000.0;
            while (rate > 0 && until < 0) {
                request(dataCentre);
                until += -Math.log(1 - random.nextDouble()) / rate;
            }
            due.put(dataCentre, Math.max(0, until));
        });
    }

    private boolean isLost(HostId host) {
        return lost.contains(dataCentres.get(host));
    }

    private void request(String dataCentre) {
        List<HostId> local = hosts.keySet().stream()
                .filter(host -> dataCentres.get(host).equals(dataCentre))
                .toList();
        HostId host = local.get(random.nextInt(local.size()));
        ReducerFixture fixture = hosts.get(host);
        ForwardRequest request = fixture.request(PATH + "1", Optional.empty(), Duration.ofSeconds(6));
        arrivedAt.put(new ExchangeKey(host, request.exchange()), now);
        run(host, fixture.apply(new ForwardingEvent.RequestArrived(request)));
    }

    private void schedule(Instant at, Runnable action) {
        scheduled.add(new Scheduled(at, orders++, action));
    }

    private void apply(HostId host, ForwardingEvent event) {
        if (!isLost(host)) {
            run(host, hosts.get(host).apply(event));
        }
    }

    private void run(HostId host, List<ForwardingEffect> effects) {
        for (ForwardingEffect effect : effects) {
            if (effect instanceof ForwardingEffect.Send send) {
                start(host, send);
            } else if (effect instanceof ForwardingEffect.SendToPeer message) {
                if (delivers.test(dataCentres.get(host), dataCentres.get(message.peer()))) {
                    schedule(
                            now.plus(MESSAGE_DELAY),
                            () -> apply(
                                    message.peer(),
                                    new ForwardingEvent.PeerMessageReceived(
                                            new HostIdentity(host, 1), message.message())));
                }
            } else if (effect instanceof ForwardingEffect.Deliver deliver) {
                ended(host, deliver.exchange(), true);
            } else if (effect instanceof ForwardingEffect.Fail fail) {
                ended(host, fail.exchange(), false);
            } else if (effect instanceof ForwardingEffect.Refuse refuse) {
                ended(host, refuse.exchange(), false);
            }
        }
    }

    private void ended(HostId host, long exchange, boolean answered) {
        Instant arrived = arrivedAt.remove(new ExchangeKey(host, exchange));
        outcomes.add(new Outcome(now, dataCentres.get(host), answered, Duration.between(arrived, now)));
    }

    private void start(HostId host, ForwardingEffect.Send send) {
        Endpoint endpoint = endpoints.get(send.endpoint());
        if (endpoint.down) {
            sent.add(new Sent(now, dataCentres.get(host), send.endpoint(), endpoint.dataCentre, 0, true));
            schedule(
                    now.plus(REFUSAL_DELAY),
                    () -> end(host, send, new AttemptResult.NotRun(AttemptResult.NotRunCause.NOT_CONNECTED)));
            return;
        }
        endpoint.load++;
        boolean fails = random.nextDouble() < endpoint.failureShare;
        sent.add(new Sent(now, dataCentres.get(host), send.endpoint(), endpoint.dataCentre, endpoint.load, fails));
        Instant free = endpoint.slotsFreeAt.poll();
        Instant end = (free.isAfter(now) ? free : now)
                .plusMillis((long) (endpoint.serviceMilliseconds * (0.7 + 0.6 * random.nextDouble())));
        endpoint.slotsFreeAt.add(end);
        schedule(end, () -> {
            endpoint.load--;
            end(
                    host,
                    send,
                    endpoint.down
                            ? new AttemptResult.Broken(
                                    AttemptResult.BrokenCause.CONNECTION_LOST, false, Optional.empty())
                            : new AttemptResult.Answered(fails ? 500 : 200, Duration.ZERO));
        });
    }

    private void end(HostId host, ForwardingEffect.Send send, AttemptResult result) {
        apply(host, new ForwardingEvent.AttemptEnded(send.exchange(), send.attempt(), result));
    }
}
