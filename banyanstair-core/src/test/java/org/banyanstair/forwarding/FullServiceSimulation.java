package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import org.banyanstair.external.Topic;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.RequestId;
import org.banyanstair.teams.KeyDigest;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamName;
import org.banyanstair.teams.TeamTable;

/**
 * Simulates hosts and a plain service whose endpoints have 6 slots each, queue a few more requests and reject the rest.
 * Refused callers return after the named time.
 */
final class FullServiceSimulation {
    static final int SLOTS = 6;

    static final Duration OBJECTIVE = Duration.ofSeconds(1);

    private static final int QUEUED = 4;

    /** Mean of the run times, which lie between half and one and a half of it. */
    private static final int RUN_MILLISECONDS = 100;

    private static final Duration STEP = Duration.ofMillis(5);

    private static final Duration MESSAGE_DELAY = Duration.ofMillis(5);

    private static final int MAXIMUM_SENT_AGAIN = 2;

    private final Map<HostId, ReducerFixture> hosts = new LinkedHashMap<>();
    private final Map<EndpointId, Endpoint> endpoints = new LinkedHashMap<>();
    private final PriorityQueue<Scheduled> scheduled =
            new PriorityQueue<>(Comparator.comparing(Scheduled::at).thenComparing(Scheduled::order));
    private final Map<TeamName, Random> arrivalsOfTeams = new HashMap<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private final List<Call> all = new ArrayList<>();
    private final List<DecisionRecord> log = new ArrayList<>();
    private final Random random;
    private Instant now;
    private long orders;
    private long exchanges;
    private double sumOfBusiest;
    private double sumOfMeans;
    int rejections;

    private record Scheduled(Instant at, long order, Runnable action) {}

    private static final class Endpoint {
        private int running;
        private final Deque<Runnable> queue = new ArrayDeque<>();

        int requests() {
            return running + queue.size();
        }
    }

    /** A request of a caller, and how it ended. */
    static final class Call {
        final TeamName team;
        final Instant at;
        final int sentBefore;
        Instant endedAt = Instant.MAX;
        boolean answered;
        Optional<RefusalReason> refusal = Optional.empty();
        Optional<Duration> retryAfter = Optional.empty();

        Call(TeamName team, Instant at, int sentBefore) {
            this.team = team;
            this.at = at;
            this.sentBefore = sentBefore;
        }

        boolean isInTime() {
            return answered && !endedAt.isAfter(at.plus(OBJECTIVE));
        }
    }

    FullServiceSimulation(int hostCount, int endpointCount, List<Team> teams, long seed) {
        random = new Random(seed);
        for (int index = 0; index < endpointCount; index++) {
            endpoints.put(new EndpointId("e-" + index), new Endpoint());
        }
        for (int index = 0; index < hostCount; index++) {
            HostId host = new HostId("host-" + index);
            hosts.put(host, new ReducerFixture(host));
        }
        now = hosts.values().iterator().next().now();
        ForwardingConfiguration configuration = new ForwardingConfiguration(
                1,
                List.of(ReducerFixture.route("/p/", ReducerFixture.PLAIN_SERVICE, false, true, false)),
                List.of(new ServiceDefinition(ReducerFixture.PLAIN_SERVICE, Optional.empty())),
                RequestLimits.DEFAULT,
                new TeamTable(teams));
        hosts.forEach((host, fixture) -> {
            run(
                    host,
                    fixture.publish(
                            Topic.CONFIGURATION, "config", new DecodedRecord.ConfigurationPublished(configuration)));
            endpoints.keySet().forEach(id -> fixture.endpoint(id.value(), ReducerFixture.PLAIN_SERVICE, false, 1));
            hosts.keySet().stream().filter(other -> !other.equals(host)).forEach(other -> announce(fixture, other));
        });
    }

    private void announce(ReducerFixture fixture, HostId other) {
        NetworkAddress address = NetworkAddress.parse("10.0.0.1:80");
        HostAnnouncement announcement = new HostAnnouncement(other, 1, address, address, "east", 1);
        fixture.publish(Topic.HOSTS, other.value(), new DecodedRecord.HostAnnounced(announcement));
    }

    /** Requests a second that all slots serve. */
    double capacity() {
        return endpoints.size() * SLOTS * 1000.0 / RUN_MILLISECONDS;
    }

    /** Sends requests of teams, at random instants, to random hosts. */
    void play(Duration time, Map<TeamName, Double> perSecond) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            perSecond.forEach((team, rate) -> {
                Random arrivals = arrivalsOfTeams.computeIfAbsent(
                        team, name -> new Random(31L + name.value().hashCode()));
                // Several requests of a team in one step count as one that arrives with the next.
                if (arrivals.nextDouble() < rate * STEP.toMillis() / 1000) {
                    call(team, 0);
                }
            });
            step();
        }
    }

    private void step() {
        now = now.plus(STEP);
        int index = 0;
        for (Map.Entry<HostId, ReducerFixture> host : hosts.entrySet()) {
            host.getValue().standStill(STEP);
            long interval = Math.max(5, host.getValue().reducer().tickInterval().toMillis());
            if ((now.toEpochMilli() + 5 * index++) % (interval - interval % 5) == 0) {
                run(host.getKey(), host.getValue().apply(new ForwardingEvent.Tick()));
            }
        }
        while (!scheduled.isEmpty() && !scheduled.peek().at().isAfter(now)) {
            scheduled.poll().action().run();
        }
        sumOfBusiest +=
                endpoints.values().stream().mapToInt(Endpoint::requests).max().orElse(0);
        sumOfMeans += endpoints.values().stream()
                .mapToInt(Endpoint::requests)
                .average()
                .orElse(0);
    }

    /** Returns the mean over time of the requests at the busiest endpoint, as a multiple of those at the mean one. */
    double busiestOverMean() {
        return sumOfBusiest / sumOfMeans;
    }

    private void schedule(Duration delay, Runnable action) {
        scheduled.add(new Scheduled(now.plus(delay), orders++, action));
    }

    private void call(TeamName team, int sentBefore) {
        List<HostId> names = List.copyOf(hosts.keySet());
        HostId host = names.get(random.nextInt(names.size()));
        long exchange = ++exchanges;
        Call call = new Call(team, now, sentBefore);
        calls.put(exchange, call);
        all.add(call);
        ForwardRequest request = new ForwardRequest(
                exchange,
                new RequestId("request-" + exchange),
                "shop",
                "/p/1",
                Optional.empty(),
                Optional.empty(),
                List.of(),
                0,
                0,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(KeyDigest.of(team.value())),
                exchange,
                List.of());
        run(host, hosts.get(host).apply(new ForwardingEvent.RequestArrived(request)));
    }

    private void run(HostId host, List<ForwardingEffect> effects) {
        for (ForwardingEffect effect : effects) {
            if (effect instanceof ForwardingEffect.Send send) {
                start(host, send);
            } else if (effect instanceof ForwardingEffect.SendToPeer message && hosts.containsKey(message.peer())) {
                ForwardingEvent event =
                        new ForwardingEvent.PeerMessageReceived(new HostIdentity(host, 1), message.message());
                schedule(
                        MESSAGE_DELAY,
                        () -> run(message.peer(), hosts.get(message.peer()).apply(event)));
            } else if (effect instanceof ForwardingEffect.Deliver deliver) {
                end(deliver.exchange()).answered = true;
            } else if (effect instanceof ForwardingEffect.Fail fail) {
                end(fail.exchange());
            } else if (effect instanceof ForwardingEffect.Refuse refuse) {
                Call call = end(refuse.exchange());
                call.refusal = Optional.of(refuse.reason());
                call.retryAfter = refuse.retryAfter();
                if (call.sentBefore < MAXIMUM_SENT_AGAIN && refuse.retryAfter().isPresent()) {
                    schedule(refuse.retryAfter().get(), () -> call(call.team, call.sentBefore + 1));
                }
            } else if (effect instanceof ForwardingEffect.Log entry) {
                log.add(entry.decision());
            }
        }
    }

    private Call end(long exchange) {
        Call call = calls.remove(exchange);
        call.endedAt = now;
        return call;
    }

    private void start(HostId host, ForwardingEffect.Send send) {
        Endpoint endpoint = endpoints.get(send.endpoint());
        Runnable begin = () -> {
            endpoint.running++;
            int milliseconds = RUN_MILLISECONDS / 2 + random.nextInt(RUN_MILLISECONDS + 1);
            schedule(Duration.ofMillis(milliseconds), () -> {
                endpoint.running--;
                if (!endpoint.queue.isEmpty()) {
                    endpoint.queue.removeFirst().run();
                }
                ended(host, send, new AttemptResult.Answered(200, Duration.ZERO));
            });
        };
        if (endpoint.running < SLOTS) {
            begin.run();
        } else if (endpoint.queue.size() < QUEUED) {
            endpoint.queue.addLast(begin);
        } else {
            rejections++;
            schedule(
                    Duration.ofMillis(1),
                    () -> ended(host, send, new AttemptResult.NotRun(AttemptResult.NotRunCause.FULL)));
        }
    }

    private void ended(HostId host, ForwardingEffect.Send send, AttemptResult result) {
        run(host, hosts.get(host).apply(new ForwardingEvent.AttemptEnded(send.exchange(), send.attempt(), result)));
    }

    Instant now() {
        return now;
    }

    /** Returns the requests so far, in the order in which they arrived. */
    List<Call> calls() {
        return all;
    }

    List<DecisionRecord> decisions(String kind) {
        return log.stream().filter(decision -> decision.kind().equals(kind)).toList();
    }
}
