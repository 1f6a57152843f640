package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiPredicate;

import org.banyanstair.external.Topic;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.RequestId;

/**
 * Simulates hosts that exchange messages and the endpoints behind them, runners and a plain service, which crash when
 * they produce output for certain prompt parts or run certain requests. Time advances in steps of 20 ms.
 */
final class FleetSimulation {
    static final Duration STEP = Duration.ofMillis(20);

    private static final Duration RESTART = Duration.ofSeconds(3);

    private static final Duration MESSAGE_DELAY = Duration.ofMillis(20);

    private static final Duration PATIENCE = Duration.ofSeconds(6);

    /** Path of streams that runners serve. */
    static final String STREAM_PATH = "/x/";

    /** Path of idempotent requests that the plain service serves. */
    static final String SAFE_PATH = "/safe/";

    /** Path of requests to the plain service that may run once. */
    static final String ONCE_PATH = "/once/";

    private static final Duration PLAIN_RUN_TIME = Duration.ofMillis(60);

    /** Time between the failure that an endpoint answers and its crash. */
    private static final Duration CRASH_DELAY = Duration.ofMillis(30);

    private final Random random;
    private final Map<HostId, ReducerFixture> hosts = new LinkedHashMap<>();
    private final Map<HostId, Long> incarnations = new HashMap<>();
    private final Map<EndpointId, Runner> runners = new LinkedHashMap<>();
    private final PriorityQueue<Scheduled> scheduled =
            new PriorityQueue<>(Comparator.comparing(Scheduled::at).thenComparing(Scheduled::order));
    private final Map<Attempt, Running> running = new HashMap<>();
    private final Map<ExchangeKey, ForwardRequest> requests = new HashMap<>();
    private final Map<String, DecodedRecord> refusals = new LinkedHashMap<>();
    private final Set<Long> deadlyParts = new TreeSet<>();
    private final Set<Long> deadlyRequests = new TreeSet<>();
    private final List<Instant> crashes = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private BiPredicate<HostId, HostId> delivers = (from, to) -> true;
    private final Map<EndpointId, Double> limits = new HashMap<>();
    private boolean answersBeforeCrash;
    private Optional<Duration> patienceOfDeadlyCallers = Optional.empty();
    private Instant now;
    private long exchanges;
    private long orders;

    /** An attempt that reached a runner. */
    record Arrival(Instant at, ForwardRequest request, int attempt, EndpointId endpoint) {}

    /** End of a request; the reason is present if it was refused. */
    record Outcome(Instant at, ForwardRequest request, boolean answered, Optional<RefusalReason> refusal) {}

    private record ExchangeKey(HostId host, long exchange) {}

    private record Attempt(HostId host, long exchange, int number) {}

    private record Scheduled(Instant at, long order, Runnable action) {}

    private static final class Running {
        private final EndpointId runner;
        private boolean output;

        Running(EndpointId runner) {
            this.runner = runner;
        }
    }

    private static final class Runner {
        private final String service;
        private long started = 1;
        private boolean down;
        private Instant freeAt = Instant.MIN;

        Runner(String service) {
            this.service = service;
        }
    }

    FleetSimulation(int hostCount, int runnerCount, long seed) {
        random = new Random(seed);
        for (int index = 1; index <= runnerCount; index++) {
            runners.put(new EndpointId("runner-" + index), new Runner(ReducerFixture.SERVICE));
            runners.put(new EndpointId("plain-" + index), new Runner(ReducerFixture.PLAIN_SERVICE));
        }
        for (int index = 1; index <= hostCount; index++) {
            HostId host = new HostId("host-" + index);
            hosts.put(host, new ReducerFixture(host));
            incarnations.put(host, 1L);
        }
        now = hosts.values().iterator().next().now();
        hosts.forEach(this::prepare);
    }

    private void prepare(HostId host, ReducerFixture fixture) {
        fixture.configureEngine(
                8,
                ReducerFixture.route(STREAM_PATH, ReducerFixture.SERVICE, true, false, true),
                ReducerFixture.route(SAFE_PATH, ReducerFixture.PLAIN_SERVICE, false, true, false),
                ReducerFixture.route(ONCE_PATH, ReducerFixture.PLAIN_SERVICE, false, false, false));
        runners.forEach((id, runner) -> fixture.endpoint(id.value(), runner.service, false, runner.started));
        refusals.forEach((key, refusal) -> fixture.publish(Topic.HOSTS, key, refusal));
        for (HostId other : hosts.keySet()) {
            HostAnnouncement announcement = new HostAnnouncement(
                    other,
                    incarnations.get(other),
                    NetworkAddress.parse("10.0.0.1:80"),
                    NetworkAddress.parse("10.0.0.1:81"),
                    "east",
                    1);
            if (!other.equals(host)) {
                fixture.publish(Topic.HOSTS, other.value(), new DecodedRecord.HostAnnounced(announcement));
            }
        }
    }

    void addDeadlyPart(long part) {
        deadlyParts.add(part);
    }

    private boolean isDeadly(ForwardRequest request) {
        return deadlyRequests.contains(request.fingerprint())
                || request.widerFingerprints().stream().anyMatch(deadlyRequests::contains)
                || request.prompt().stream().anyMatch(part -> deadlyParts.contains(part.id()));
    }

    /** Lets requests with a fingerprint crash endpoints. */
    void addDeadlyRequest(long fingerprint) {
        deadlyRequests.add(fingerprint);
    }

    /** Lets endpoints answer deadly requests with a failure before they crash. */
    void setAnswersBeforeCrash() {
        answersBeforeCrash = true;
    }

    /** Lets an endpoint name a limit of requests a second in its responses; an empty limit ends that. */
    void setLimit(EndpointId endpoint, OptionalDouble perSecond) {
        if (perSecond.isPresent()) {
            limits.put(endpoint, perSecond.getAsDouble());
        } else {
            limits.remove(endpoint);
        }
    }

    /** Lets callers of deadly requests leave after a time, which is shorter than it takes until the crash. */
    void setCallersOfDeadlyRequestsLeave(Duration patience) {
        patienceOfDeadlyCallers = Optional.of(patience);
    }

    /** Sets which messages arrive, by sender and receiver. */
    void setDelivery(BiPredicate<HostId, HostId> predicate) {
        delivers = predicate;
    }

    List<HostId> hosts() {
        return List.copyOf(hosts.keySet());
    }

    Instant now() {
        return now;
    }

    List<Instant> crashes() {
        return crashes;
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    List<Outcome> outcomes() {
        return outcomes;
    }

    /** Restarts a host, which loses its state and its requests. */
    void restart(HostId host) {
        incarnations.merge(host, 1L, Long::sum);
        running.keySet().removeIf(attempt -> attempt.host().equals(host));
        requests.keySet().removeIf(key -> key.host().equals(host));
        ReducerFixture fixture = new ReducerFixture(host, incarnations.get(host), now);
        hosts.put(host, fixture);
        prepare(host, fixture);
    }

    /** Sends a request whose prompt consists of the parts and one of its own. */
    void send(HostId host, long... sharedParts) {
        List<PromptPart> prompt = new ArrayList<>();
        for (long part : sharedParts) {
            prompt.add(new PromptPart(part, 1000));
        }
        prompt.add(new PromptPart(1_000_000 + exchanges, 1000));
        send(host, STREAM_PATH, prompt, exchanges + 1, List.of());
    }

    /** Sends a request, which has a prompt of its own if it is a stream. */
    void send(HostId host, String path, long fingerprint, Long... widerFingerprints) {
        send(
                host,
                path,
                path.equals(STREAM_PATH)
                        ? List.of(new PromptPart(1, 1000), new PromptPart(1_000_000 + fingerprint, 1000))
                        : List.of(),
                fingerprint,
                List.of(widerFingerprints));
    }

    private void send(
            HostId host, String path, List<PromptPart> prompt, long fingerprint, List<Long> widerFingerprints) {
        exchanges++;
        ForwardRequest request = new ForwardRequest(
                exchanges,
                new RequestId("request-" + exchanges),
                "shop",
                path,
                prompt.isEmpty() ? Optional.empty() : Optional.of("base"),
                Optional.empty(),
                prompt,
                1000 * prompt.size(),
                50,
                Optional.of(now.plus(PATIENCE)),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                fingerprint,
                widerFingerprints);
        requests.put(new ExchangeKey(host, exchanges), request);
        run(host, hosts.get(host).apply(new ForwardingEvent.RequestArrived(request)));
    }

    /** Ends the processes of runners; they are back after some seconds. */
    void crash(EndpointId id) {
        Runner runner = runners.get(id);
        if (runner.down) {
            return;
        }
        runner.down = true;
        List<Attempt> lost = running.entrySet().stream()
                .filter(entry -> entry.getValue().runner.equals(id))
                .map(Map.Entry::getKey)
                .sorted(Comparator.comparing(Attempt::exchange))
                .toList();
        for (Attempt attempt : lost) {
            boolean output = running.remove(attempt).output;
            end(
                    attempt,
                    new AttemptResult.Broken(
                            AttemptResult.BrokenCause.CONNECTION_LOST,
                            output,
                            output ? Optional.of(1L) : Optional.empty()));
        }
        schedule(RESTART, () -> {
            runner.down = false;
            runner.started++;
            runner.freeAt = Instant.MIN;
            hosts.forEach((host, fixture) -> fixture.endpoint(id.value(), runner.service, false, runner.started));
        });
    }

    List<EndpointId> runners() {
        return List.copyOf(runners.keySet());
    }

    /** Advances time by one step. */
    void step() {
        now = now.plus(STEP);
        for (HostId host : hosts()) {
            run(host, hosts.get(host).pass(STEP));
        }
        while (!scheduled.isEmpty() && !scheduled.peek().at().isAfter(now)) {
            scheduled.poll().action().run();
        }
    }

    void pass(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            step();
        }
    }

    private void schedule(Duration delay, Runnable action) {
        scheduled.add(new Scheduled(now.plus(delay), orders++, action));
    }

    private void end(Attempt attempt, AttemptResult result) {
        run(
                attempt.host(),
                hosts.get(attempt.host())
                        .apply(new ForwardingEvent.AttemptEnded(attempt.exchange(), attempt.number(), result)));
    }

    private void run(HostId host, List<ForwardingEffect> effects) {
        for (ForwardingEffect effect : effects) {
            if (effect instanceof ForwardingEffect.Send send) {
                start(host, send);
            } else if (effect instanceof ForwardingEffect.CancelAttempt cancel) {
                running.keySet()
                        .removeIf(attempt -> attempt.host().equals(host) && attempt.exchange() == cancel.exchange());
            } else if (effect instanceof ForwardingEffect.CheckConnection check) {
                checkConnection(host, check);
            } else if (effect instanceof ForwardingEffect.AppendPartRefusal append) {
                schedule(MESSAGE_DELAY, () -> append("part-" + append.refusal().part(), append.refusal()));
            } else if (effect instanceof ForwardingEffect.AppendCrashedRequest append) {
                schedule(
                        MESSAGE_DELAY,
                        () -> append(
                                "request-" + append.request().fingerprint(),
                                new DecodedRecord.RequestCrashed(append.request())));
            } else if (effect instanceof ForwardingEffect.SendToPeer message) {
                sendToPeer(host, message);
            } else if (effect instanceof ForwardingEffect.Deliver deliver) {
                ended(host, deliver.exchange(), true, Optional.empty());
            } else if (effect instanceof ForwardingEffect.Fail fail) {
                ended(host, fail.exchange(), false, Optional.empty());
            } else if (effect instanceof ForwardingEffect.Refuse refuse) {
                ended(host, refuse.exchange(), false, Optional.of(refuse.reason()));
            }
        }
    }

    private void checkConnection(HostId host, ForwardingEffect.CheckConnection check) {
        if (runners.get(check.endpoint()).down) {
            schedule(
                    Duration.ZERO,
                    () -> run(
                            host,
                            hosts.get(host)
                                    .apply(new ForwardingEvent.ConnectionRefused(check.endpoint(), check.started()))));
        }
    }

    private void append(String key, DecodedRecord refusal) {
        refusals.put(key, refusal);
        hosts.values().forEach(fixture -> fixture.publish(Topic.HOSTS, key, refusal));
    }

    private void ended(HostId host, long exchange, boolean answered, Optional<RefusalReason> refusal) {
        outcomes.add(new Outcome(now, requests.remove(new ExchangeKey(host, exchange)), answered, refusal));
    }

    private void sendToPeer(HostId from, ForwardingEffect.SendToPeer message) {
        if (delivers.test(from, message.peer()) && hosts.containsKey(message.peer())) {
            HostIdentity sender = new HostIdentity(from, incarnations.get(from));
            schedule(
                    MESSAGE_DELAY,
                    () -> run(
                            message.peer(),
                            hosts.get(message.peer())
                                    .apply(new ForwardingEvent.PeerMessageReceived(sender, message.message()))));
        }
    }

    private void start(HostId host, ForwardingEffect.Send send) {
        Attempt attempt = new Attempt(host, send.exchange(), send.attempt());
        Runner runner = runners.get(send.endpoint());
        if (runner.down) {
            schedule(Duration.ZERO, () -> end(attempt, new AttemptResult.NotRun(AttemptResult.NotRunCause.REFUSED)));
            return;
        }
        ForwardRequest request = requests.get(new ExchangeKey(host, send.exchange()));
        arrivals.add(new Arrival(now, request, send.attempt(), send.endpoint()));
        running.put(attempt, new Running(send.endpoint()));
        if (isDeadly(request) && patienceOfDeadlyCallers.isPresent()) {
            Duration patience = patienceOfDeadlyCallers.get();
            schedule(
                    patience,
                    () -> run(host, hosts.get(host).apply(new ForwardingEvent.CallerDisconnected(send.exchange()))));
            schedule(patience.plus(CRASH_DELAY), () -> {
                crashes.add(now);
                crash(send.endpoint());
            });
            return;
        }
        if (request.prompt().isEmpty()) {
            schedule(PLAIN_RUN_TIME, () -> output(attempt, request));
            return;
        }
        Instant from = runner.freeAt.isAfter(now) ? runner.freeAt : now;
        runner.freeAt = from.plusMillis((long) (1500 / RunnerTimings.PROMPT_TOKENS_PER_MILLISECOND));
        schedule(Duration.between(now, runner.freeAt), () -> output(attempt, request));
    }

    private void sendNotice(Attempt attempt, EndpointId endpoint) {
        ReducerFixture host = hosts.get(attempt.host());
        Double limit = limits.get(endpoint);
        OptionalDouble perSecond = limit == null ? OptionalDouble.empty() : OptionalDouble.of(limit);
        if (limit != null || host.reducer().isLimited(endpoint)) {
            run(
                    attempt.host(),
                    host.apply(new ForwardingEvent.EndpointNoticeReceived(
                            endpoint,
                            now,
                            new EndpointNotice(
                                    false, Optional.empty(), Optional.empty(), RequestLimitNotice.of(perSecond)))));
        }
    }

    private void output(Attempt attempt, ForwardRequest request) {
        Running state = running.get(attempt);
        if (state == null) {
            return;
        }
        sendNotice(attempt, state.runner);
        if (isDeadly(request)) {
            crashes.add(now);
            if (answersBeforeCrash) {
                running.remove(attempt);
                end(attempt, new AttemptResult.Answered(500, Duration.ZERO));
                schedule(CRASH_DELAY, () -> crash(state.runner));
            } else {
                crash(state.runner);
            }
            return;
        }
        if (request.prompt().isEmpty()) {
            running.remove(attempt);
            end(attempt, new AttemptResult.Answered(200, Duration.ZERO));
            return;
        }
        state.output = true;
        run(
                attempt.host(),
                hosts.get(attempt.host()).apply(new ForwardingEvent.FirstOutput(attempt.exchange(), attempt.number())));
        schedule(Duration.ofMillis(200 + random.nextInt(1500)), () -> {
            if (running.remove(attempt) != null) {
                end(attempt, new AttemptResult.Answered(200, Duration.ZERO));
            }
        });
    }
}
