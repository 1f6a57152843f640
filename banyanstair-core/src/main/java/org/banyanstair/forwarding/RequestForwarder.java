package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.TreeMap;

import org.banyanstair.model.AdapterName;

/** The requests of this host's callers, from their arrival to their end. */
final class RequestForwarder {
    /** Time in which the commander of a runner answers that it will load an adapter. */
    private static final Duration LOAD_START_LIMIT = Duration.ofMillis(120);

    /** Time for which a load is asked for; renewed while the request waits. */
    private static final Duration WANT_TERM = Duration.ofMillis(300);

    /** Renewals after which another runner may be chosen. */
    private static final int REMINDERS_BEFORE_PLAN = 5;

    /** Rejections after which a request is refused; more would use up the retries of others. */
    private static final int REJECTION_LIMIT = 3;

    /** Pause for an endpoint that said that it is full. */
    private static final Duration FULL_PAUSE = Duration.ofMillis(40);

    /** Share of the objective after which an idempotent call is given to another endpoint. */
    private static final double SILENCE_SHARE = 0.6;

    /** Multiple of the expected time of a stream's first event after which it is given to another endpoint. */
    private static final double SILENCE_MULTIPLE = 4;

    /** Shortest such time. */
    private static final Duration SHORTEST_SILENCE = Duration.ofMillis(700);

    private final Turn turn;
    private final ForwardingSettings settings;
    private final PlatformView view;
    private final PeerTable peers;
    private final RunnerDesk desk;
    private final CrashWatch crashes;
    private final EndpointChooser chooser;
    private final Map<Long, Forwarding> open = new TreeMap<>();
    private final SharedRetries retries;
    private final UseLedger ledger;

    RequestForwarder(
            Turn turn,
            ForwardingSettings settings,
            PlatformView view,
            PeerTable peers,
            PeerMail mail,
            RunnerDesk desk,
            CrashWatch crashes) {
        this.turn = turn;
        this.settings = settings;
        this.view = view;
        this.peers = peers;
        this.desk = desk;
        this.crashes = crashes;
        this.ledger = new UseLedger(turn, settings.identity().host(), view, mail, desk, open.values());
        this.retries = new SharedRetries(settings, peers);
        this.chooser = new EndpointChooser(settings.announcement().dataCentre());
    }

    UseLedger ledger() {
        return ledger;
    }

    int size() {
        return open.size();
    }

    /** Returns the requests that no endpoint works on. */
    List<Forwarding> waiting() {
        return open.values().stream().filter(forwarding -> !forwarding.sent).toList();
    }

    void arrived(ForwardRequest request) {
        Optional<ForwardingConfiguration> configuration = view.configuration();
        if (configuration.isEmpty()) {
            refuseUnrouted(request, RefusalReason.NOT_READY);
            return;
        }
        Optional<Route> route = configuration.get().findRoute(request.host(), request.path());
        if (route.isEmpty()) {
            refuseUnrouted(request, RefusalReason.NO_ROUTE);
            return;
        }
        double point = (request.fingerprint() * 31 + request.exchange() >>> 11 & 0xFFFF) / 65536.0;
        String serviceName = route.get().serviceFor(point);
        ServiceDefinition service = configuration
                .get()
                .service(serviceName)
                .orElseGet(() -> new ServiceDefinition(serviceName, Optional.empty()));
        Forwarding forwarding = new Forwarding(request, route.get(), service, turn.now());
        open.put(request.exchange(), forwarding);
        retries.countFirst(service.name(), turn.now());
        if (!turn.now().isBefore(forwarding.deadline)) {
            refuse(forwarding, RefusalReason.DEADLINE_PASSED, 0);
        } else if (crashes.isRefused(request.fingerprint())) {
            refuse(forwarding, RefusalReason.CRASHES_ENDPOINTS, 0);
        } else {
            plan(forwarding);
        }
    }

    private void refuseUnrouted(ForwardRequest request, RefusalReason reason) {
        turn.log(DecisionRecord.important(
                "refused", "request", request.id(), "reason", reason, "host", request.host(), "path", request.path()));
        turn.emit(new ForwardingEffect.Refuse(
                request.exchange(),
                reason,
                reason == RefusalReason.NOT_READY ? Optional.of(RetryTimes.NOT_READY) : Optional.empty()));
    }

    private void plan(Forwarding forwarding) {
        ForwardRequest request = forwarding.request;
        Instant now = turn.now();
        long needed = neededVersion(request);
        ChoiceQuery query = new ChoiceQuery(
                request,
                forwarding.prefixes,
                forwarding.route,
                forwarding.service.engine(),
                forwarding.tried,
                endpoint ->
                        forwarding.noLoad.contains(endpoint.id()) ? OptionalDouble.empty() : desk.loadDelay(endpoint),
                needed,
                request.adapter().map(view::newestVersion).orElse(0L),
                desk.loadsWaiting());
        Optional<Choice> choice = chooser.choose(query, view.endpointsOf(forwarding.service.name()), now);
        if (choice.isEmpty()) {
            boolean any = view.endpointsOf(forwarding.service.name()).stream()
                    .anyMatch(endpoint -> endpoint.takesRequests(now));
            giveUp(forwarding, any ? RefusalReason.ADAPTER_UNAVAILABLE : RefusalReason.NO_ENDPOINT, 0);
            return;
        }
        EndpointState endpoint = choice.get().endpoint();
        double start = choice.get().startMilliseconds();
        if (start > Duration.between(now, forwarding.firstOutputBy()).toMillis()) {
            giveUp(forwarding, RefusalReason.OVERLOADED, start);
            return;
        }
        forwarding.endpoint = Optional.of(endpoint);
        forwarding.predictedMilliseconds = start;
        if (choice.get().load()) {
            want(forwarding, endpoint);
            turn.log(DecisionRecord.of(
                    "load-wanted",
                    "request",
                    request.id(),
                    "endpoint",
                    endpoint.id(),
                    "adapter",
                    request.adapter().orElseThrow(),
                    "load-delay-ms",
                    (long) desk.loadDelay(endpoint).orElse(-1),
                    "needed-version",
                    needed,
                    "expected-start-ms",
                    (long) start));
        } else {
            check(forwarding);
        }
    }

    private long neededVersion(ForwardRequest request) {
        return request.adapter()
                .map(adapter -> view.neededVersion(adapter, settings.versionTerm(), turn.now()))
                .orElse(0L);
    }

    /** Asks for the adapter of a request for a short time, so that a load that nobody waits for any more is not made. */
    private void want(Forwarding forwarding, EndpointState endpoint) {
        forwarding.recheckAt = turn.now().plus(overRelays(LOAD_START_LIMIT));
        Instant term = turn.now().plus(overRelays(WANT_TERM));
        Instant until = term.isBefore(forwarding.firstOutputBy()) ? term : forwarding.firstOutputBy();
        desk.want(endpoint, new WantedLoad(forwarding.request.adapter().orElseThrow(), forwarding.dueAt(), until));
    }

    /** Messages take longer where they pass relays. */
    private Duration overRelays(Duration time) {
        return peers.isLarge() ? time.multipliedBy(2) : time;
    }

    private void giveUp(Forwarding forwarding, RefusalReason reason, double startMilliseconds) {
        if (forwarding.mayHaveRun) {
            fail(forwarding, FailureReason.ENDPOINT_FAILED);
        } else {
            refuse(forwarding, reason, startMilliseconds);
        }
    }

    /** Looks again at the requests that wait for an adapter. */
    void checkWaiting() {
        waiting().forEach(this::check);
    }

    private void check(Forwarding forwarding) {
        Instant now = turn.now();
        if (forwarding.sent || !open.containsKey(forwarding.request.exchange())) {
            return;
        }
        if (!now.isBefore(forwarding.firstOutputBy())) {
            giveUp(forwarding, RefusalReason.OVERLOADED, 0);
            return;
        }
        EndpointState endpoint = forwarding.endpoint.orElseThrow();
        if (!endpoint.takesRequests(now)) {
            plan(forwarding);
            return;
        }
        Optional<AdapterName> adapter = forwarding.request.adapter();
        AdapterPlace place = adapter.map(endpoint.adapters()::get).orElse(null);
        long needed = neededVersion(forwarding.request);
        if (adapter.isEmpty() || place != null && place.version() >= needed && place.isReady(now)) {
            send(forwarding, endpoint, place);
        } else if ((place == null || place.version() < needed) && !now.isBefore(forwarding.recheckAt)) {
            boolean heard = endpoint.isWaitingFor(adapter.orElseThrow());
            if (heard && ++forwarding.reminders % REMINDERS_BEFORE_PLAN != 0) {
                want(forwarding, endpoint);
            } else {
                if (!heard) {
                    forwarding.noLoad.add(endpoint.id());
                }
                plan(forwarding);
            }
        }
    }

    private void send(Forwarding forwarding, EndpointState endpoint, AdapterPlace place) {
        ForwardRequest request = forwarding.request;
        forwarding.sent = true;
        forwarding.firstOutput = false;
        forwarding.attempts++;
        forwarding.sentAt = turn.now();
        forwarding.predictedMilliseconds = forwarding.service.engine().isPresent()
                ? EndpointChooser.promptMilliseconds(endpoint, request, forwarding.prefixes)
                : 0;
        forwarding.tried.add(endpoint.id());
        forwarding.cachedTokens = endpoint.prefixes().cachedTokens(request, forwarding.prefixes);
        ledger.addPrefixes(endpoint, forwarding.prefixes);
        request.adapter().ifPresent(adapter -> desk.countUse(endpoint, adapter));
        ledger.changed(endpoint);
        turn.log(DecisionRecord.of(
                "sent",
                "request",
                request.id(),
                "attempt",
                forwarding.attempts,
                "endpoint",
                endpoint.id(),
                "adapter",
                request.adapter().map(AdapterName::toString).orElse(""),
                "waited-ms",
                turn.millisecondsSince(forwarding.arrivedAt),
                "expected-start-ms",
                (long) forwarding.predictedMilliseconds,
                "running",
                endpoint.running(),
                "waiting-tokens",
                endpoint.waitingTokens()));
        turn.emit(new ForwardingEffect.Send(
                request.exchange(),
                forwarding.attempts,
                endpoint.id(),
                endpoint.listing().address(),
                forwarding.deadline,
                forwarding.route.rank(),
                place == null || place.version() == 0 ? OptionalLong.empty() : OptionalLong.of(place.version()),
                forwarding.lastEvent));
    }

    void firstOutput(long exchange, int attempt) {
        Forwarding forwarding = open.get(exchange);
        if (forwarding == null || forwarding.attempts != attempt || forwarding.firstOutput) {
            return;
        }
        forwarding.firstOutput = true;
        if (forwarding.firstOutputMilliseconds < 0) {
            forwarding.firstOutputMilliseconds = turn.millisecondsSince(forwarding.arrivedAt);
        }
        EndpointState endpoint = forwarding.endpoint.orElseThrow();
        if (forwarding.predictedMilliseconds > 0) {
            endpoint.countSpeed(turn.millisecondsSince(forwarding.sentAt) / forwarding.predictedMilliseconds);
        }
        ledger.changed(endpoint);
    }

    void ended(long exchange, int attempt, AttemptResult result) {
        Forwarding forwarding = open.get(exchange);
        if (forwarding == null || forwarding.attempts != attempt || !forwarding.sent) {
            return;
        }
        EndpointState endpoint = forwarding.endpoint.orElseThrow();
        forwarding.sent = false;
        ledger.changed(endpoint);
        turn.log(DecisionRecord.of(
                "attempt-ended",
                "request",
                forwarding.request.id(),
                "attempt",
                attempt,
                "endpoint",
                endpoint.id(),
                "result",
                result,
                "after-ms",
                turn.millisecondsSince(forwarding.sentAt)));
        if (result instanceof AttemptResult.Answered answered) {
            answered(forwarding, endpoint, answered);
        } else if (result instanceof AttemptResult.NotRun notRun) {
            notRun(forwarding, endpoint, notRun.cause());
        } else if (result instanceof AttemptResult.Broken broken) {
            broken(forwarding, endpoint, broken);
        }
    }

    private void answered(Forwarding forwarding, EndpointState endpoint, AttemptResult.Answered result) {
        forwarding.runs++;
        forwarding.mayHaveRun = true;
        boolean failed = result.status() >= 500 || result.deniesRun();
        endpoint.countOutcome(!failed, turn.now());
        if (!failed) {
            crashes.completed(forwarding.request.fingerprint());
            if (forwarding.request.adapter().isPresent()) {
                endpoint.countRun(Duration.between(forwarding.sentAt, turn.now()));
            }
        } else if (forwarding.route.mayRunAgain() && retry(forwarding)) {
            return;
        }
        if (result.deniesRun()) {
            fail(forwarding, FailureReason.ENDPOINT_FAILED);
            return;
        }
        close(forwarding);
        turn.log(forwarding.answerRecord(result, turn.now()));
        turn.emit(new ForwardingEffect.Deliver(forwarding.request.exchange()));
    }

    /** Takes a retry for a request that has run some times, if limits allow another run and something would take it. */
    private boolean mayRunAgain(Forwarding forwarding, int runs) {
        return runs < forwarding.route.maximumAttempts()
                && turn.now().isBefore(forwarding.deadline)
                && !crashes.isRefused(forwarding.request.fingerprint())
                && view.endpointsOf(forwarding.service.name()).stream()
                        .anyMatch(endpoint ->
                                endpoint.takesRequests(turn.now()) && !forwarding.tried.contains(endpoint.id()))
                && retries.take(forwarding.service.name(), turn.now());
    }

    private boolean retry(Forwarding forwarding) {
        boolean again = mayRunAgain(forwarding, forwarding.runs);
        if (again) {
            plan(forwarding);
        }
        return again;
    }

    private void notRun(Forwarding forwarding, EndpointState endpoint, AttemptResult.NotRunCause cause) {
        if (cause == AttemptResult.NotRunCause.NOT_CONNECTED) {
            endpoint.notConnected(turn.now());
            crashes.unreachable(endpoint);
        } else if (cause == AttemptResult.NotRunCause.FULL) {
            endpoint.avoidUntil(turn.now().plus(FULL_PAUSE));
        } else {
            forwarding
                    .request
                    .adapter()
                    .ifPresentOrElse(
                            adapter -> desk.missing(endpoint, adapter),
                            () -> endpoint.avoidUntil(turn.now().plus(FULL_PAUSE)));
        }
        forwarding.tried.remove(endpoint.id());
        boolean arrived = cause != AttemptResult.NotRunCause.NOT_CONNECTED;
        if (++forwarding.rejections > REJECTION_LIMIT
                || arrived && !retries.take(forwarding.service.name(), turn.now())) {
            giveUp(forwarding, RefusalReason.OVERLOADED, 0);
        } else {
            plan(forwarding);
        }
    }

    private void broken(Forwarding forwarding, EndpointState endpoint, AttemptResult.Broken result) {
        forwarding.runs++;
        forwarding.mayHaveRun = true;
        endpoint.countOutcome(false, turn.now());
        crashes.broken(forwarding.request.fingerprint(), endpoint);
        if (result.lastEvent().isPresent()) {
            forwarding.lastEvent = result.lastEvent();
        }
        // Without a position, another run would repeat what the caller has.
        boolean resumable = forwarding.route.streaming() && result.lastEvent().isPresent();
        boolean mayGoOn = forwarding.route.mayRunAgain() && (resumable || !result.outputPassedOn());
        if (!mayGoOn || !retry(forwarding)) {
            fail(forwarding, FailureReason.ENDPOINT_FAILED);
        }
    }

    void callerLeft(long exchange) {
        Forwarding forwarding = open.get(exchange);
        if (forwarding != null) {
            turn.log(DecisionRecord.of("caller-left", "request", forwarding.request.id(), "sent", forwarding.sent));
            cancel(forwarding);
            close(forwarding);
        }
    }

    private void cancel(Forwarding forwarding) {
        if (forwarding.sent) {
            forwarding.sent = false;
            forwarding.endpoint.ifPresent(ledger::changed);
            turn.emit(new ForwardingEffect.CancelAttempt(forwarding.request.exchange()));
        }
    }

    private void refuse(Forwarding forwarding, RefusalReason reason, double startMilliseconds) {
        close(forwarding);
        Optional<Duration> retryAfter = RetryTimes.after(
                reason, startMilliseconds, forwarding.route.objective(), forwarding.request.fingerprint());
        turn.log(DecisionRecord.important(
                "refused",
                "request",
                forwarding.request.id(),
                "reason",
                reason,
                "service",
                forwarding.service.name(),
                "expected-start-ms",
                (long) startMilliseconds,
                "waited-ms",
                turn.millisecondsSince(forwarding.arrivedAt),
                "attempts",
                forwarding.attempts));
        turn.emit(new ForwardingEffect.Refuse(forwarding.request.exchange(), reason, retryAfter));
    }

    private void fail(Forwarding forwarding, FailureReason reason) {
        close(forwarding);
        turn.log(DecisionRecord.important(
                "failed",
                "request",
                forwarding.request.id(),
                "reason",
                reason,
                "endpoint",
                forwarding.endpoint.map(endpoint -> endpoint.id().value()).orElse(""),
                "attempts",
                forwarding.attempts,
                "after-ms",
                turn.millisecondsSince(forwarding.arrivedAt)));
        turn.emit(new ForwardingEffect.Fail(forwarding.request.exchange(), reason));
    }

    private void close(Forwarding forwarding) {
        open.remove(forwarding.request.exchange());
        forwarding.endpoint.ifPresent(ledger::changed);
    }

    void tick() {
        checkWaiting();
        for (Forwarding forwarding : List.copyOf(open.values())) {
            if (!forwarding.sent) {
                continue;
            }
            if (!turn.now().isBefore(forwarding.deadline)) {
                cancel(forwarding);
                fail(forwarding, FailureReason.TIMED_OUT);
            } else if (!forwarding.firstOutput && isSilent(forwarding) && forwarding.route.mayRunAgain()) {
                moveOn(forwarding);
            }
        }
    }

    private boolean isSilent(Forwarding forwarding) {
        long waited = turn.millisecondsSince(forwarding.sentAt);
        return forwarding.route.streaming()
                ? waited > Math.max(SHORTEST_SILENCE.toMillis(), SILENCE_MULTIPLE * forwarding.predictedMilliseconds)
                : waited > SILENCE_SHARE * forwarding.route.objective().toMillis();
    }

    private void moveOn(Forwarding forwarding) {
        if (mayRunAgain(forwarding, forwarding.runs + 1)) {
            turn.log(forwarding.silenceRecord(turn.now()));
            forwarding.endpoint.ifPresent(endpoint -> endpoint.countOutcome(false, turn.now()));
            cancel(forwarding);
            forwarding.runs++;
            forwarding.mayHaveRun = true;
            plan(forwarding);
        }
    }
}
