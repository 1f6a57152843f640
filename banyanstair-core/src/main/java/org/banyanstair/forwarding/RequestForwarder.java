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
import org.banyanstair.model.EndpointId;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamTable;
import org.banyanstair.versions.SoftwareVersion;

/** Forwards the requests of this host's callers, from their arrival to their end. */
final class RequestForwarder {
    /** Time within which the lease holder of a runner confirms a load request. */
    private static final Duration LOAD_REPLY_TIMEOUT = Duration.ofMillis(120);

    /** Validity of a load request; renewed while the caller's request waits. */
    private static final Duration LOAD_REQUEST_TERM = Duration.ofMillis(300);

    /** Renewals after which the selection of the runner is repeated. */
    private static final int REMINDERS_BEFORE_RESELECTION = 5;

    /**
     * Rejections by endpoints after which a request is refused; more would use up the retry budget of other requests.
     */
    private static final int MAXIMUM_REJECTIONS = 3;

    /** Pause of an endpoint that reported that it is full. */
    private static final Duration FULL_ENDPOINT_PAUSE = Duration.ofMillis(40);

    /** Share of the objective without an answer after which a non-streaming request is sent to another endpoint. */
    private static final double SILENCE_OBJECTIVE_SHARE = 0.6;

    /** Multiple of the expected time until the first event after which a silent stream is sent to another endpoint. */
    private static final double SILENCE_PREDICTION_MULTIPLE = 4;

    /** Time after the first output of a stream after which its endpoint has survived the request. */
    private static final Duration SURVIVED_OUTPUT_TIME = Duration.ofSeconds(1);

    /** Minimum silence before a stream is sent to another endpoint. */
    private static final Duration MINIMUM_STREAM_SILENCE = Duration.ofMillis(700);

    private final EventContext context;
    private final ForwardingSettings settings;
    private final PlatformView view;
    private final PeerTable peers;
    private final KeyConfirmation keys;
    private final RunnerManager runnerManager;
    private final CrashDetector crashDetector;
    private final RefusalRegistry refusals;
    private final DataCentreChooser dataCentres;
    private final EndpointSelector selector;
    private final Map<Long, InFlightRequest> requests = new TreeMap<>();
    private final ServiceAdmission admission;
    private final RetryBudgets retryBudgets;
    private final UsageTracker usage;
    private final EndpointLimits limits;
    private final EndpointNotices notices;
    private final TeamAdmission teamAdmission;
    private final StreamVersions streamVersions;
    private final StopAdmission stopAdmission = new StopAdmission();
    private boolean ended;

    RequestForwarder(
            EventContext context,
            ForwardingSettings settings,
            PlatformView view,
            PeerTable peers,
            PeerMessenger messenger,
            RunnerManager runnerManager,
            CrashDetector crashDetector) {
        this.context = context;
        this.settings = settings;
        this.view = view;
        this.peers = peers;
        this.keys = new KeyConfirmation(context, settings, view, peers, messenger);
        this.runnerManager = runnerManager;
        this.crashDetector = crashDetector;
        this.refusals = crashDetector.refusals();
        this.teamAdmission = new TeamAdmission(context, settings, view, peers);
        this.streamVersions =
                new StreamVersions(context, view, peers, settings.identity().host());
        this.usage = new UsageTracker(
                context,
                settings.identity().host(),
                view,
                messenger,
                runnerManager,
                requests.values(),
                new ReportedState(teamAdmission, streamVersions));
        this.limits = new EndpointLimits(context, settings.identity().host(), view, peers, messenger);
        this.notices = new EndpointNotices(context, settings.identity().host(), view, limits);
        this.admission = new ServiceAdmission(context, settings.identity().host(), view, peers);
        this.retryBudgets = new RetryBudgets(settings, peers, admission);
        this.dataCentres = new DataCentreChooser(context, settings, view, peers);
        this.selector = new EndpointSelector(
                settings.identity().host(), settings.announcement().dataCentre(), dataCentres, peers);
    }

    UsageTracker usage() {
        return usage;
    }

    KeyConfirmation keys() {
        return keys;
    }

    TeamAdmission teamAdmission() {
        return teamAdmission;
    }

    StreamVersions streamVersions() {
        return streamVersions;
    }

    EndpointLimits limits() {
        return limits;
    }

    AdmissionStatus admissionStatus() {
        return admission.status();
    }

    DataCentreChooser dataCentres() {
        return dataCentres;
    }

    int size() {
        return requests.size();
    }

    /** Returns the requests that are not being run by an endpoint. */
    List<InFlightRequest> waiting() {
        return requests.values().stream().filter(inFlight -> !inFlight.sent).toList();
    }

    void requestArrived(ForwardRequest request, Instant arrivedAt) {
        Optional<ForwardingConfiguration> configuration = view.configuration();
        if (ended) {
            refuseUnrouted(request, RefusalReason.STOPPING);
            return;
        }
        if (configuration.isEmpty()) {
            refuseUnrouted(request, RefusalReason.NOT_READY);
            return;
        }
        Optional<Route> route = configuration.get().findRoute(request.host(), request.path());
        if (route.isEmpty()) {
            refuseUnrouted(request, RefusalReason.NO_ROUTE);
            return;
        }
        TeamTable teams = configuration.get().teams();
        boolean needsKey = !teams.isEmpty() && !route.get().open();
        Optional<Team> team = needsKey ? request.key().flatMap(teams::findByKey) : Optional.empty();
        if (needsKey && request.key().isPresent() && !keys.mayAcceptKeys()) {
            refuseUnrouted(request, RefusalReason.KEYS_UNCONFIRMED);
            return;
        }
        if (needsKey && team.isEmpty()) {
            refuseUnrouted(request, RefusalReason.UNKNOWN_KEY);
            return;
        }
        double trafficPoint = (request.fingerprint() * 31 + request.exchange() >>> 11 & 0xFFFF) / 65536.0;
        String serviceName = streamVersions
                .serviceOf(request)
                .filter(route.get()::hasTarget)
                .orElseGet(() -> route.get().serviceFor(trafficPoint));
        ServiceDefinition service = configuration
                .get()
                .service(serviceName)
                .orElseGet(() -> new ServiceDefinition(serviceName, Optional.empty()));
        InFlightRequest inFlight = new InFlightRequest(request, route.get(), service, team, arrivedAt, context.now());
        requests.put(request.exchange(), inFlight);
        retryBudgets.recordFirstAttempt(inFlight, context.now());
        limits.recordDemand(service.name());
        Instant nextRead = context.ticks().nextRead(context.now());
        if (!context.now().isBefore(inFlight.deadline)) {
            refuse(inFlight, RefusalReason.DEADLINE_PASSED, 0);
        } else if (refusals.isRefused(request)) {
            refuse(inFlight, RefusalReason.CRASHES_ENDPOINTS, 0);
        } else if (!nextRead.isBefore(inFlight.firstOutputDeadline())) {
            refuse(inFlight, RefusalReason.OVERLOADED, -context.millisecondsSince(nextRead));
        } else {
            charge(inFlight);
        }
    }

    private void charge(InFlightRequest inFlight) {
        OptionalDouble returnAfter = teamAdmission.charge(inFlight);
        if (returnAfter.isPresent()) {
            refuse(inFlight, RefusalReason.ALLOTMENT_EXHAUSTED, returnAfter.getAsDouble());
        } else if (admission.exceedsShare(inFlight)) {
            refuse(inFlight, RefusalReason.SHARE_EXCEEDED, 0);
        } else {
            selectEndpoint(inFlight);
        }
    }

    /** Sends only requests that can be complete before the host stops from now on. */
    void startStop(StopSchedule schedule) {
        stopAdmission.start(schedule);
        waiting().forEach(this::advance);
    }

    private void refuseUnrouted(ForwardRequest request, RefusalReason reason) {
        Optional<Team> team =
                view.configuration().flatMap(configuration -> request.key().flatMap(configuration.teams()::findByKey));
        context.log(DecisionRecord.important(
                        "refused",
                        "request",
                        request.id(),
                        "reason",
                        reason,
                        "request-host",
                        request.host(),
                        "path",
                        request.path())
                .with("team", team.map(Team::name)));
        context.emit(new ForwardingEffect.Refuse(
                request.exchange(),
                reason,
                RetryAfterPolicy.retryAfter(reason, 0, Duration.ZERO, request.fingerprint())));
    }

    private void selectEndpoint(InFlightRequest inFlight) {
        if (!stopAdmission.allows(inFlight, context.now())) {
            refuse(inFlight, RefusalReason.STOPPING, 0);
            return;
        }
        if (!decideVersion(inFlight)) {
            return;
        }
        if (admission.mustWait(inFlight)) {
            waitForSlot(inFlight);
            return;
        }
        ForwardRequest request = inFlight.request;
        Instant now = context.now();
        long needed = neededVersion(request);
        SelectionQuery query = new SelectionQuery(
                request,
                inFlight.prefixes,
                inFlight.route,
                inFlight.service.engine(),
                inFlight.tried,
                endpoint -> inFlight.loadUnavailable.contains(endpoint.id())
                        ? OptionalDouble.empty()
                        : runnerManager.loadDelay(endpoint),
                needed,
                request.adapter().map(view::newestVersion).orElse(0L),
                runnerManager.weightStoreUtilization(),
                Duration.between(now, inFlight.firstOutputDeadline()).toMillis());
        Optional<EndpointSelection> selection = selector.select(
                query,
                endpointsFor(inFlight).stream().filter(limits::allowsRequest).toList(),
                now);
        if (selection.isEmpty()) {
            inFlight.awaitsLoan = limits.borrow(inFlight, endpointsFor(inFlight));
            if (!inFlight.awaitsLoan) {
                refuseWithoutEndpoint(inFlight);
            }
            return;
        }
        EndpointState endpoint = selection.get().endpoint();
        double start = selection.get().startMilliseconds();
        if (start > Duration.between(now, inFlight.firstOutputDeadline()).toMillis()) {
            refuseOrFail(inFlight, RefusalReason.OVERLOADED, start);
            return;
        }
        admission.takeSlot(inFlight);
        inFlight.endpoint = Optional.of(endpoint);
        inFlight.predictedMilliseconds = start;
        if (selection.get().load()) {
            requestLoad(inFlight, endpoint);
            context.log(DecisionRecord.of(
                    "load-wanted",
                    "request",
                    request.id(),
                    "endpoint",
                    endpoint.id(),
                    "adapter",
                    request.adapter().orElseThrow(),
                    "load-delay-ms",
                    (long) runnerManager.loadDelay(endpoint).orElse(-1),
                    "needed-version",
                    needed,
                    "expected-start-ms",
                    (long) start));
        } else {
            advance(inFlight);
        }
    }

    /** Returns the endpoints of the service of a request whose version may run it. */
    private List<EndpointState> endpointsFor(InFlightRequest inFlight) {
        return view.endpointsOf(inFlight.service.name()).stream()
                .filter(endpoint -> inFlight.allowsVersionOf(endpoint, context.now()))
                .toList();
    }

    /** Finds out which version may run a request; returns whether the request can be sent now. */
    private boolean decideVersion(InFlightRequest inFlight) {
        if (inFlight.version.isPresent()) {
            return true;
        }
        StreamVersions.Decision decision = streamVersions.decide(inFlight);
        inFlight.awaitsVersion = decision instanceof StreamVersions.Decision.Wait;
        if (decision instanceof StreamVersions.Decision.Only only) {
            inFlight.version = Optional.of(only.version());
        } else if (decision instanceof StreamVersions.Decision.Unknown) {
            refuseOrFail(inFlight, RefusalReason.STREAM_VERSION_UNKNOWN, 0);
            return false;
        }
        return !inFlight.awaitsVersion;
    }

    private boolean isServing(ServiceDefinition service, SoftwareVersion version) {
        return view.endpointsOf(service.name()).stream()
                .filter(endpoint -> endpoint.listing().softwareVersion().equals(version))
                .map(endpoint -> endpoint.condition(context.now()))
                .anyMatch(condition -> condition == EndpointCondition.IN_USE || condition == EndpointCondition.PAUSED);
    }

    private void refuseWithoutEndpoint(InFlightRequest inFlight) {
        if (inFlight.version.isPresent() && !isServing(inFlight.service, inFlight.version.get())) {
            refuseOrFail(inFlight, RefusalReason.STREAM_VERSION_GONE, 0);
            return;
        }
        Optional<Instant> pauseEnd = notices.soonestPauseEnd(inFlight.service.name());
        if (pauseEnd.isPresent()) {
            refuseOrFail(inFlight, RefusalReason.ENDPOINTS_PAUSED, -context.millisecondsSince(pauseEnd.get()));
            return;
        }
        List<EndpointState> endpoints = endpointsFor(inFlight);
        if (endpoints.stream().anyMatch(this::mayReceiveRequest)) {
            refuseOrFail(inFlight, RefusalReason.ADAPTER_UNAVAILABLE, 0);
            return;
        }
        Optional<Instant> soonest = limits.soonestRequest(endpoints);
        if (soonest.isPresent()) {
            boolean hasShare = soonest.get().isBefore(inFlight.deadline);
            refuseOrFail(
                    inFlight,
                    RefusalReason.ENDPOINTS_LIMITED,
                    hasShare
                            ? -context.millisecondsSince(soonest.get())
                            : inFlight.route.timeout().toMillis());
            return;
        }
        refuseOrFail(inFlight, RefusalReason.NO_ENDPOINT, 0);
    }

    /** Returns whether a request may be sent to an endpoint now. */
    private boolean mayReceiveRequest(EndpointState endpoint) {
        return endpoint.acceptsRequests(context.now()) && limits.allowsRequest(endpoint);
    }

    private long neededVersion(ForwardRequest request) {
        return request.adapter()
                .map(adapter -> view.neededVersion(adapter, settings.versionTerm(), context.now()))
                .orElse(0L);
    }

    /**
     * Requests the load of the adapter with a short validity, so that it is not loaded once no request waits for it.
     */
    private void requestLoad(InFlightRequest inFlight, EndpointState endpoint) {
        inFlight.recheckAt = context.now().plus(allowForRelays(LOAD_REPLY_TIMEOUT));
        Instant termEnd = context.now().plus(allowForRelays(LOAD_REQUEST_TERM));
        Instant expiresAt = termEnd.isBefore(inFlight.firstOutputDeadline()) ? termEnd : inFlight.firstOutputDeadline();
        runnerManager.requestLoad(
                endpoint,
                new AdapterLoadRequest(inFlight.request.adapter().orElseThrow(), inFlight.dueAt(), expiresAt));
    }

    /** Extends a time limit in a large deployment, where messages pass relays. */
    private Duration allowForRelays(Duration time) {
        return peers.isLargeDeployment() ? time.multipliedBy(2) : time;
    }

    private void refuseOrFail(InFlightRequest inFlight, RefusalReason reason, double startMilliseconds) {
        if (inFlight.mayHaveRun) {
            fail(inFlight, FailureReason.ENDPOINT_FAILED);
        } else {
            refuse(inFlight, reason, startMilliseconds);
        }
    }

    /**
     * Sends the waiting requests whose adapter is ready, and repeats the selection of the endpoint where it is no
     * longer suitable.
     */
    void advanceWaiting() {
        admission.inOrder(waiting()).forEach(this::advance);
    }

    /** Sends requests that waited for a slot, after a peer has reported what it uses. */
    void usageReported() {
        if (admission.isActive()) {
            advanceWaiting();
        }
    }

    /** Sends or refuses a request whose lender has answered. */
    void loanAnswered(long exchange) {
        Optional.ofNullable(requests.get(exchange)).ifPresent(this::advance);
    }

    private void waitForSlot(InFlightRequest inFlight) {
        Optional<Double> tooLong = admission.hold(inFlight);
        if (tooLong.isPresent()) {
            refuseOrFail(inFlight, RefusalReason.OVERLOADED, tooLong.get());
        } else {
            advanceHeld(inFlight.service);
        }
    }

    private void advanceHeld(ServiceDefinition service) {
        admission.inOrder(admission.held(service)).forEach(this::advance);
    }

    private void advance(InFlightRequest inFlight) {
        Instant now = context.now();
        if (inFlight.sent || !requests.containsKey(inFlight.request.exchange())) {
            return;
        }
        if (!now.isBefore(inFlight.firstOutputDeadline())) {
            refuseOrFail(inFlight, RefusalReason.OVERLOADED, 0);
            return;
        }
        if (inFlight.awaitsVersion) {
            selectEndpoint(inFlight);
            return;
        }
        if (inFlight.awaitsLoan) {
            if (!limits.awaitsLoan(inFlight) || endpointsFor(inFlight).stream().anyMatch(this::mayReceiveRequest)) {
                inFlight.awaitsLoan = false;
                selectEndpoint(inFlight);
            }
            return;
        }
        if (inFlight.waitsForSlot) {
            if (!admission.mustWait(inFlight) || !stopAdmission.allows(inFlight, now)) {
                selectEndpoint(inFlight);
            } else if (now.isAfter(admission.latestStart(inFlight))) {
                refuseOrFail(inFlight, RefusalReason.OVERLOADED, 0);
            }
            return;
        }
        EndpointState endpoint = inFlight.endpoint.orElseThrow();
        if (!mayReceiveRequest(endpoint)
                || !inFlight.allowsVersionOf(endpoint, now)
                || !stopAdmission.allows(inFlight, now)) {
            selectEndpoint(inFlight);
            return;
        }
        Optional<AdapterName> adapter = inFlight.request.adapter();
        AdapterSlot slot = adapter.map(endpoint.adapters()::get).orElse(null);
        long needed = neededVersion(inFlight.request);
        if (adapter.isEmpty() || slot != null && slot.version() >= needed && slot.isReady(now)) {
            send(inFlight, endpoint, slot);
        } else if ((slot == null || slot.version() < needed) && !now.isBefore(inFlight.recheckAt)) {
            boolean loadPending = endpoint.isLoadPending(adapter.orElseThrow());
            if (loadPending && ++inFlight.reminders % REMINDERS_BEFORE_RESELECTION != 0) {
                requestLoad(inFlight, endpoint);
            } else {
                if (!loadPending) {
                    inFlight.loadUnavailable.add(endpoint.id());
                }
                selectEndpoint(inFlight);
            }
        }
    }

    private void send(InFlightRequest inFlight, EndpointState endpoint, AdapterSlot slot) {
        ForwardRequest request = inFlight.request;
        inFlight.sent = true;
        view.configuration().ifPresent(configuration -> inFlight.updateTeam(configuration.teams()));
        inFlight.firstOutput = false;
        inFlight.outputReported = false;
        inFlight.attempts++;
        inFlight.sentAt = context.now();
        inFlight.sentVersion = endpoint.softwareVersion(context.now());
        inFlight.predictedMilliseconds = inFlight.service.engine().isPresent()
                ? EndpointSelector.promptMilliseconds(endpoint, request, inFlight.prefixes)
                : 0;
        inFlight.tried.add(endpoint.id());
        endpoint.requestedPause().recordRequest();
        limits.recordRequest(endpoint);
        dataCentres.recordSent(endpoint);
        inFlight.cachedTokens = endpoint.prefixes().cachedTokens(request, inFlight.prefixes);
        usage.addPrefixes(endpoint, inFlight.prefixes);
        request.adapter().ifPresent(adapter -> runnerManager.recordUse(endpoint, adapter));
        usage.update(endpoint);
        inFlight.runningAtStart = endpoint.running();
        admission.sent(inFlight);
        DecisionRecord sent = DecisionRecord.of(
                "sent",
                "request",
                request.id(),
                "attempt",
                inFlight.attempts,
                "endpoint",
                endpoint.id(),
                "adapter",
                request.adapter().map(AdapterName::toString).orElse(""),
                "waited-ms",
                context.millisecondsSince(inFlight.arrivedAt),
                "expected-start-ms",
                (long) inFlight.predictedMilliseconds,
                "running",
                endpoint.running(),
                "waiting-tokens",
                endpoint.waitingTokens(),
                "version",
                endpoint.listing().softwareVersion());
        context.log(sent.with("team", inFlight.team.map(Team::name)).with("resumes", request.resumes()));
        context.emit(new ForwardingEffect.Send(
                request.exchange(),
                inFlight.attempts,
                endpoint.id(),
                endpoint.listing().address(),
                inFlight.deadline,
                inFlight.endpointDeadline(),
                inFlight.rank(),
                inFlight.team.map(Team::name),
                slot == null || slot.version() == 0 ? OptionalLong.empty() : OptionalLong.of(slot.version()),
                inFlight.lastEvent,
                inFlight.version.isPresent() ? endpoint.listing().knownStart() : OptionalLong.empty()));
    }

    void firstOutput(long exchange, int attempt) {
        InFlightRequest inFlight = requests.get(exchange);
        if (inFlight == null || inFlight.attempts != attempt || inFlight.firstOutput) {
            return;
        }
        inFlight.firstOutput = true;
        inFlight.firstOutputAt = context.now();
        if (inFlight.firstOutputMilliseconds < 0) {
            inFlight.firstOutputMilliseconds = context.millisecondsSince(inFlight.arrivedAt);
        }
        if (inFlight.route.streaming() && inFlight.route.resumable()) {
            inFlight.versionOfOwnAttempt |= inFlight.version.isEmpty();
            SoftwareVersion version = inFlight.versionOfOutput();
            inFlight.version = Optional.of(version);
            streamVersions.began(inFlight, version);
        }
        EndpointState endpoint = inFlight.endpoint.orElseThrow();
        if (inFlight.predictedMilliseconds > 0) {
            endpoint.recordSpeed(context.millisecondsSince(inFlight.sentAt) / inFlight.predictedMilliseconds);
        }
        inFlight.request.adapter().ifPresent(adapter -> runnerManager.adapterUsed(endpoint, adapter, inFlight.sentAt));
        usage.update(endpoint);
    }

    void attemptEnded(long exchange, int attempt, AttemptResult result) {
        InFlightRequest inFlight = requests.get(exchange);
        if (inFlight == null || inFlight.attempts != attempt || !inFlight.sent) {
            return;
        }
        EndpointState endpoint = inFlight.endpoint.orElseThrow();
        inFlight.sent = false;
        usage.update(endpoint);
        context.log(DecisionRecord.of(
                "attempt-ended",
                "request",
                inFlight.request.id(),
                "attempt",
                attempt,
                "endpoint",
                endpoint.id(),
                "result",
                result,
                "after-ms",
                context.millisecondsSince(inFlight.sentAt)));
        if (result instanceof AttemptResult.Answered answered) {
            answered(inFlight, endpoint, answered);
        } else if (result instanceof AttemptResult.NotRun notRun) {
            notRun(inFlight, endpoint, notRun.cause());
        } else if (result instanceof AttemptResult.Broken broken) {
            broken(inFlight, endpoint, broken);
        }
        advanceHeld(inFlight.service);
    }

    private void answered(InFlightRequest inFlight, EndpointState endpoint, AttemptResult.Answered result) {
        inFlight.runs++;
        inFlight.mayHaveRun = true;
        boolean failed = result.status() >= 500 || result.claimsNotExecuted();
        endpoint.recordOutcome(!failed, context.now());
        recordResponse(inFlight, endpoint, !failed);
        if (!failed) {
            admission.answered(inFlight);
            if (result.isSuccess()) {
                refusals.requestCompleted(inFlight.request);
            }
            if (inFlight.request.adapter().isPresent()) {
                endpoint.recordRunTime(Duration.between(inFlight.sentAt, context.now()));
            }
        } else {
            crashDetector.attemptFailed(inFlight, endpoint);
            if (inFlight.route.allowsRerun() && retry(inFlight)) {
                return;
            }
        }
        if (result.claimsNotExecuted()) {
            fail(inFlight, FailureReason.ENDPOINT_FAILED);
            return;
        }
        close(inFlight);
        if (result.isSuccess()) {
            stopAdmission.recordAnswered(inFlight, context.now());
        }
        context.log(inFlight.answerRecord(result, context.now()));
        context.emit(new ForwardingEffect.Deliver(inFlight.request.exchange()));
    }

    private void recordResponse(InFlightRequest inFlight, EndpointState endpoint, boolean success) {
        Duration time = Duration.between(inFlight.sentAt, context.now());
        endpoint.recordResponse(success, inFlight.runningAtStart, time, context.now());
    }

    /**
     * Returns whether a request may run again within its limits on another endpoint, and if so takes a retry from the
     * budget.
     */
    private boolean tryRerun(InFlightRequest inFlight, int runs) {
        return runs < inFlight.route.maximumAttempts()
                && context.now().isBefore(inFlight.deadline)
                && crashDetector.mayRunAgain(inFlight.request)
                && endpointsFor(inFlight).stream()
                        .anyMatch(endpoint -> mayReceiveRequest(endpoint) && !inFlight.tried.contains(endpoint.id()))
                && retryBudgets.tryAcquire(inFlight, context.now());
    }

    private boolean retry(InFlightRequest inFlight) {
        boolean rerun = tryRerun(inFlight, inFlight.runs);
        if (rerun) {
            selectEndpoint(inFlight);
        }
        return rerun;
    }

    private void notRun(InFlightRequest inFlight, EndpointState endpoint, AttemptResult.NotRunCause cause) {
        if (cause == AttemptResult.NotRunCause.EXPIRED) {
            refuseOrFail(inFlight, RefusalReason.DEADLINE_PASSED, 0);
            return;
        }
        if (cause == AttemptResult.NotRunCause.REFUSED) {
            endpoint.connectionFailed(context.now());
            crashDetector.attemptRefused(endpoint);
        } else if (cause == AttemptResult.NotRunCause.NOT_CONNECTED) {
            endpoint.connectionFailed(context.now());
            crashDetector.endpointUnreachable(endpoint);
        } else if (cause == AttemptResult.NotRunCause.OTHER_PROCESS) {
            processReplaced(inFlight, endpoint);
        } else if (cause == AttemptResult.NotRunCause.FULL || cause == AttemptResult.NotRunCause.BACKLOG) {
            endpoint.pauseUntil(context.now().plus(FULL_ENDPOINT_PAUSE));
        } else if (inFlight.request.adapter().isPresent()) {
            runnerManager.adapterMissing(endpoint, inFlight.request.adapter().get());
        } else if (inFlight.request.baseModel().isPresent()) {
            endpoint.pauseUntil(context.now().plus(FULL_ENDPOINT_PAUSE));
        } else {
            otherProcessAnswered(inFlight, endpoint);
        }
        inFlight.tried.remove(endpoint.id());
        if (cause.reachesEndpoint()
                && (++inFlight.rejections > MAXIMUM_REJECTIONS || !retryBudgets.tryAcquire(inFlight, context.now()))) {
            refuseOrFail(inFlight, RefusalReason.OVERLOADED, 0);
        } else {
            selectEndpoint(inFlight);
        }
    }

    /** Handles a rejection that cannot be for want of a model or an adapter, so another endpoint has the address. */
    private void otherProcessAnswered(InFlightRequest inFlight, EndpointState endpoint) {
        Instant now = context.now();
        if (!endpoint.mayPrecedeRestart(inFlight.sentAt)
                && endpoint.staleEntry().otherProcessAnswered(inFlight.sentAt, now)) {
            context.log(DecisionRecord.important(
                    "endpoint-entry-stale",
                    "endpoint",
                    endpoint.id(),
                    "started",
                    endpoint.listing().started(),
                    "for-ms",
                    Duration.between(now, endpoint.staleEntry().end()).toMillis(),
                    "request",
                    inFlight.request.id()));
        }
    }

    private void processReplaced(InFlightRequest inFlight, EndpointState endpoint) {
        if (endpoint.mayPrecedeRestart(inFlight.sentAt)) {
            return;
        }
        endpoint.processReplaced(context.now());
        context.log(DecisionRecord.important(
                "endpoint-replaced",
                "endpoint",
                endpoint.id(),
                "started",
                endpoint.listing().started(),
                "version",
                endpoint.listing().softwareVersion(),
                "request",
                inFlight.request.id()));
    }

    private void broken(InFlightRequest inFlight, EndpointState endpoint, AttemptResult.Broken result) {
        inFlight.runs++;
        inFlight.mayHaveRun = true;
        if (result.cause().excusesEndpoint()) {
            crashDetector.attemptAbandoned(inFlight, endpoint);
        } else {
            endpoint.recordOutcome(false, context.now());
            recordResponse(inFlight, endpoint, false);
            crashDetector.attemptBroken(inFlight, endpoint);
        }
        if (result.lastEvent().isPresent()) {
            inFlight.lastEvent = result.lastEvent();
        } else if (!result.outputPassedOn()) {
            inFlight.releaseOwnVersion();
        }
        // Without a resume position, another run would repeat output that the caller already has.
        boolean resumable = inFlight.route.streaming() && result.lastEvent().isPresent();
        // The answer to another run would not fit either, and the run would use retries of other callers.
        boolean fits = result.cause() != AttemptResult.BrokenCause.HOST_MEMORY;
        boolean mayContinue = fits && inFlight.route.allowsRerun() && (resumable || !result.outputPassedOn());
        if (!mayContinue || !retry(inFlight)) {
            fail(inFlight, FailureReason.ENDPOINT_FAILED);
        }
    }

    void noticeReceived(EndpointId endpoint, Instant sentAt, EndpointNotice notice) {
        if (notices.apply(endpoint, sentAt, notice)) {
            advanceWaiting();
        }
    }

    void callerDisconnected(long exchange) {
        InFlightRequest inFlight = requests.get(exchange);
        if (inFlight != null) {
            context.log(DecisionRecord.of("caller-left", "request", inFlight.request.id(), "sent", inFlight.sent));
            if (!inFlight.sent && !inFlight.mayHaveRun) {
                teamAdmission.refund(inFlight);
            }
            cancel(inFlight);
            close(inFlight);
        }
    }

    private void cancel(InFlightRequest inFlight) {
        if (inFlight.sent) {
            inFlight.sent = false;
            inFlight.endpoint.ifPresent(endpoint -> {
                usage.update(endpoint);
                crashDetector.attemptAbandoned(inFlight, endpoint);
            });
            context.emit(new ForwardingEffect.CancelAttempt(inFlight.request.exchange()));
        }
    }

    private void refuse(InFlightRequest inFlight, RefusalReason reason, double startMilliseconds) {
        close(inFlight);
        teamAdmission.refund(inFlight);
        Optional<Duration> retryAfter = admission
                .refused(inFlight, reason)
                .or(() -> RetryAfterPolicy.retryAfter(
                        reason, startMilliseconds, inFlight.route.objective(), inFlight.request.fingerprint()));
        context.log(inFlight.refusalRecord(reason, startMilliseconds, refusals, context.now()));
        context.emit(new ForwardingEffect.Refuse(inFlight.request.exchange(), reason, retryAfter));
    }

    private void fail(InFlightRequest inFlight, FailureReason reason) {
        close(inFlight);
        context.log(inFlight.failureRecord(reason, context.now()));
        context.emit(new ForwardingEffect.Fail(inFlight.request.exchange(), reason));
    }

    private void close(InFlightRequest inFlight) {
        requests.remove(inFlight.request.exchange());
        admission.release(inFlight);
        inFlight.endpoint.ifPresent(usage::update);
    }

    /**
     * Ends all requests before the process exits, so that each caller learns whether its request may have run, and
     * refuses those that still arrive.
     */
    void endAll() {
        ended = true;
        for (InFlightRequest inFlight : List.copyOf(requests.values())) {
            if (inFlight.sent || inFlight.mayHaveRun) {
                cancel(inFlight);
                fail(inFlight, FailureReason.STOPPING);
            } else {
                refuse(inFlight, RefusalReason.STOPPING, 0);
            }
        }
    }

    /**
     * Ends the requests that have come to be refused: those that have not been sent as not run, and those without output
     * as failed, before their endpoints crash.
     */
    void stopRefusedRequests() {
        for (InFlightRequest inFlight : List.copyOf(requests.values())) {
            if (!refusals.isRefused(inFlight.request)) {
                continue;
            }
            if (!inFlight.sent) {
                refuseOrFail(inFlight, RefusalReason.CRASHES_ENDPOINTS, 0);
            } else if (!inFlight.firstOutput) {
                cancel(inFlight);
                fail(inFlight, FailureReason.CRASHES_ENDPOINTS);
            }
        }
    }

    void tick() {
        limits.tick();
        teamAdmission.tick();
        admission.tick();
        dataCentres.tick();
        advanceWaiting();
        for (InFlightRequest inFlight : List.copyOf(requests.values())) {
            if (!inFlight.sent) {
                continue;
            }
            if (!context.now().isBefore(inFlight.failureDeadline())) {
                cancel(inFlight);
                fail(inFlight, FailureReason.TIMED_OUT);
            } else if (inFlight.firstOutput) {
                reportOutput(inFlight);
            } else if (isSilent(inFlight) && inFlight.route.allowsRerun()) {
                retryElsewhere(inFlight);
            }
        }
    }

    private void reportOutput(InFlightRequest inFlight) {
        if (!inFlight.outputReported && !context.now().isBefore(inFlight.firstOutputAt.plus(SURVIVED_OUTPUT_TIME))) {
            inFlight.outputReported = true;
            refusals.outputProduced(inFlight.request);
        }
    }

    private boolean isSilent(InFlightRequest inFlight) {
        // What has arrived and is still unread is no silence.
        Instant readUntil = context.ticks().earliestArrival(context.now());
        long waited = Duration.between(inFlight.sentAt, readUntil).toMillis();
        return inFlight.route.streaming()
                ? waited
                        > Math.max(
                                MINIMUM_STREAM_SILENCE.toMillis(),
                                SILENCE_PREDICTION_MULTIPLE * inFlight.predictedMilliseconds)
                : waited > SILENCE_OBJECTIVE_SHARE * inFlight.route.objective().toMillis();
    }

    private void retryElsewhere(InFlightRequest inFlight) {
        if (tryRerun(inFlight, inFlight.runs + 1)) {
            context.log(inFlight.silenceRecord(context.now()));
            inFlight.endpoint.ifPresent(endpoint -> {
                // Silence may be the wait of an overloaded endpoint; it counts as a slow answer.
                recordResponse(inFlight, endpoint, true);
                endpoint.recordOutcome(false, context.now());
            });
            cancel(inFlight);
            inFlight.runs++;
            inFlight.mayHaveRun = true;
            selectEndpoint(inFlight);
        }
    }
}
