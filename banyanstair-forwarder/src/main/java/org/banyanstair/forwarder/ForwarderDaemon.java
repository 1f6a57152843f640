package org.banyanstair.forwarder;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.banyanstair.forwarder.internal.CallerConnection;
import org.banyanstair.forwarder.internal.CallerExchange;
import org.banyanstair.forwarder.internal.ConnectionMemoryBudget;
import org.banyanstair.forwarder.internal.EndpointConnectionPool;
import org.banyanstair.forwarder.internal.ForwarderContext;
import org.banyanstair.forwarder.internal.ForwarderMetrics;
import org.banyanstair.forwarder.internal.LogClient;
import org.banyanstair.forwarder.internal.MemoryEvictions;
import org.banyanstair.forwarder.internal.MemoryLimits;
import org.banyanstair.forwarder.internal.QueryConnection;
import org.banyanstair.forwarder.internal.RejectedResponses;
import org.banyanstair.forwarder.internal.ResponseAggregator;
import org.banyanstair.forwarder.internal.ServerSockets;
import org.banyanstair.forwarder.internal.UndeliveredResponse;
import org.banyanstair.forwarding.AdapterCommand;
import org.banyanstair.forwarding.CommandResult;
import org.banyanstair.forwarding.DecisionRecord;
import org.banyanstair.forwarding.ForwardingConfiguration;
import org.banyanstair.forwarding.ForwardingEffect;
import org.banyanstair.forwarding.ForwardingEvent;
import org.banyanstair.forwarding.ForwardingReducer;
import org.banyanstair.forwarding.RequestLimits;
import org.banyanstair.forwarding.StopSchedule;
import org.banyanstair.metrics.LabelledMetricName;
import org.banyanstair.metrics.PrometheusText;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.transport.NettyPeerTransport;
import org.banyanstair.transport.PeerListener;
import org.banyanstair.transport.PeerTransport;
import org.banyanstair.transport.PeerTransportSettings;
import org.tinylog.Logger;

/**
 * Runs a forwarding host: one thread feeds events to the reducer and executes the resulting effects.
 *
 * <p>Can be started and stopped once.
 */
public final class ForwarderDaemon {
    /** Allows a few round trips within one region. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

    /**
     * Time-out of a command to a runner; allows tens of round trips within one region. A runner that receives the
     * command later rejects it by its sequence number.
     */
    private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(150);

    /**
     * Time-out of a state request to a runner; longer than for commands, because a host that has just started is
     * slow itself.
     */
    private static final Duration INSPECTION_TIMEOUT = Duration.ofMillis(500);

    /** Maximum body of a runner's response; the names of 10,000 adapters take a third of it. */
    private static final int MAXIMUM_RUNNER_RESPONSE_BYTES = 1 << 20;

    /** Time to write the answers to the requests that end with the process; within the margin of the platform. */
    private static final Duration FLUSH_PERIOD = Duration.ofMillis(200);

    /** Interval of heartbeats on connections between hosts. */
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

    /** Silence after which a connection between hosts is closed. */
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(2500);

    private final ForwarderSettings settings;
    private final Protocols protocols;
    private final DecisionLog decisions;
    private final ForwardingReducer reducer;
    private final MonotonicClock clock = new MonotonicClock();
    private final ForwarderMetrics metrics = new ForwarderMetrics();
    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, new DefaultThreadFactory("banyanstair-forwarder", false));
    private final EventLoop loop = group.next();
    private final ConnectionMemoryBudget memory;
    private final EndpointConnectionPool connections;

    /**
     * Connections for this host's own calls to runners. Their responses have no request id, so a late copy of one would
     * be taken for the response to a caller's request on the same connection.
     */
    private final EndpointConnectionPool runnerCallConnections;

    private final ServerSockets serverSockets = new ServerSockets(group);
    private final Map<Long, CallerExchange> exchanges = new HashMap<>();
    private final Set<CallerConnection> callerConnections = new HashSet<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final DaemonContext context = new DaemonContext();
    private final LogClient logClient;
    private final PeerTransport peers;
    private long lastExchangeNumber;
    private volatile boolean stopping;
    private Instant stopDeadline = Instant.MAX;
    private boolean endedRequests;
    private boolean drained;
    private Instant exitDeadline = Instant.MAX;
    private Instant drainUntil = Instant.MAX;

    /**
     * Creates the daemon; {@link #start} opens its ports.
     *
     * @param protocols protocols of callers, endpoints, log service and directory
     */
    public ForwarderDaemon(ForwarderSettings settings, Protocols protocols, DecisionLog decisions) {
        this.settings = settings;
        this.protocols = protocols;
        this.decisions = decisions;
        this.reducer = new ForwardingReducer(settings.forwarding(), protocols.log());
        this.memory = new ConnectionMemoryBudget(
                MemoryLimits.of(Runtime.getRuntime().maxMemory(), settings.memoryBytes()), clock, decisions::write);
        RejectedResponses rejectedResponses = new RejectedResponses(metrics, decisions::write);
        this.connections = new EndpointConnectionPool(loop, CONNECT_TIMEOUT, memory, rejectedResponses);
        this.runnerCallConnections = new EndpointConnectionPool(loop, CONNECT_TIMEOUT, memory, rejectedResponses);
        this.logClient = new LogClient(context, loop);
        metrics.registerStatusGauges(() -> reducer.status(context.now()));
        metrics.registerGauge(
                "endpoint_connections_total", () -> connections.openedTotal() + runnerCallConnections.openedTotal());
        metrics.registerGauge("answer_memory_bytes", () -> memory.heldBytes(ConnectionMemoryBudget.Kind.RESPONSE));
        for (ConnectionMemoryBudget.Kind kind : ConnectionMemoryBudget.Kind.values()) {
            String label = kind.name().toLowerCase(Locale.ROOT);
            metrics.registerGauge(
                    LabelledMetricName.of("connection_memory_bytes", "kind", label), () -> memory.heldBytes(kind));
            metrics.registerGauge(
                    LabelledMetricName.of("connection_memory_evictions_total", "kind", label),
                    () -> memory.evictions(kind));
            for (MemoryEvictions.State state : MemoryEvictions.State.values()) {
                metrics.registerGauge(
                        LabelledMetricName.of("connection_memory_evicted_total", "kind", label, "state", state.label()),
                        () -> memory.evictions().total(kind, state));
            }
        }
        metrics.registerGauge(
                "endpoint_backlog_bytes", () -> connections.unwrittenBytes() + runnerCallConnections.unwrittenBytes());
        metrics.registerGauge("log_lines_dropped_total", decisions::droppedLines);
        this.peers = NettyPeerTransport.withEventLoopGroup(
                new PeerTransportSettings(
                        settings.forwarding().identity(),
                        "banyanstair",
                        settings.forwarding().announcement().peers(),
                        HEARTBEAT_INTERVAL,
                        PEER_TIMEOUT,
                        CONNECT_TIMEOUT.multipliedBy(2),
                        PeerTransportSettings.DEFAULT_MAXIMUM_FRAME_BYTES),
                reducer::peerAddress,
                new PeerEventAdapter(),
                clock,
                group);
    }

    /** Starts listening and starts to follow the platform's log. */
    public void start() {
        loop.execute(this::tick);
        peers.start();
        serverSockets.listenForCallers(settings.callerAddress(), context);
        settings.readinessAddress()
                .ifPresent(address -> serverSockets.listenForQueries(
                        address,
                        () -> new QueryConnection(
                                request -> protocols.directory().readinessResponse(request, reducer.isReady()))));
        settings.directoryAddress()
                .ifPresent(address -> serverSockets.listenForQueries(
                        address,
                        () -> new QueryConnection(request -> protocols
                                .directory()
                                .resolveResponse(request, reducer.callerAddresses(context.now())))));
        serverSockets.listenForQueries(settings.metricsAddress(), () -> new QueryConnection(this::metricsResponse));
        decisions.write(DecisionRecord.important(
                "started", "identity", settings.forwarding().identity(), "callers", settings.callerAddress()));
    }

    /** Starts an orderly shutdown and returns at once: no new callers, requests in flight complete. */
    public void stop() {
        // The supervisor counts from the signal, not from when the event loop gets to it.
        Instant requestedAt = clock.instant();
        loop.execute(() -> {
            if (!stopping) {
                stopping = true;
                stopDeadline = requestedAt.plus(settings.shutdownTimeout());
                drainUntil = requestedAt.plus(settings.drainGracePeriod());
                context.submit(new ForwardingEvent.StopRequested(
                        new StopSchedule(requestedAt.plus(settings.estimatePeriod()), stopDeadline)));
            }
        });
    }

    /**
     * Waits until the daemon has stopped.
     *
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public void awaitStop() throws InterruptedException {
        stopped.await();
    }

    /**
     * Records in the decision log that the settings file was read again.
     *
     * @param reason what triggered the reload
     */
    public void logSettingsReload(String reason) {
        decisions.write(DecisionRecord.important("settings-read", "reason", reason));
    }

    private void tick() {
        context.submit(new ForwardingEvent.Tick());
        if (stopping && advanceStop(context.now())) {
            // Requests may have arrived while this thread did not run; the event loop reads them before its next task.
            loop.schedule(this::exitUnlessBusy, 1, TimeUnit.MILLISECONDS);
        } else {
            scheduleTick();
        }
    }

    private void scheduleTick() {
        loop.schedule(this::tick, reducer.tickInterval().toMillis(), TimeUnit.MILLISECONDS);
    }

    private void exitUnlessBusy() {
        if (advanceStop(context.now())) {
            exit();
        } else {
            scheduleTick();
        }
    }

    /** Ends the requests when the stop has drained or its deadline has passed; returns whether the process may exit. */
    private boolean advanceStop(Instant now) {
        if (endedRequests) {
            return now.isAfter(exitDeadline)
                    || callerConnections.stream()
                            .noneMatch(connection -> connection.isBusy() || connection.isLingering());
        }
        drained = now.isAfter(drainUntil)
                && reducer.openRequests() == 0
                && callerConnections.stream().noneMatch(CallerConnection::isBusy);
        if (drained || now.isAfter(stopDeadline)) {
            endedRequests = true;
            exitDeadline = (drained ? now : stopDeadline).plus(FLUSH_PERIOD);
            context.submit(new ForwardingEvent.StopDeadlineReached());
        }
        return false;
    }

    private void exit() {
        serverSockets.close();
        callerConnections.forEach(CallerConnection::stopReading);
        callerConnections.forEach(CallerConnection::logExit);
        decisions.write(DecisionRecord.important(
                "stopped",
                "open-requests",
                reducer.openRequests(),
                "drained",
                drained,
                "connections",
                callerConnections.size(),
                "unsent-bytes",
                callerConnections.stream()
                        .mapToLong(CallerConnection::unsentBytes)
                        .sum()));
        callerConnections.forEach(CallerConnection::shutdownOutput);
        stopped.countDown();
    }

    private Optional<FullHttpResponse> metricsResponse(HttpRequest request) {
        if (!request.uri().equals("/metrics")) {
            return Optional.empty();
        }
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, PrometheusText.CONTENT_TYPE);
        response.content().writeBytes(metrics.render());
        return Optional.of(response);
    }

    private void executeAll(List<ForwardingEffect> effects) {
        for (ForwardingEffect effect : effects) {
            try {
                execute(effect);
            } catch (RuntimeException exception) {
                Logger.error(
                        exception, "cannot execute effect {}", effect.getClass().getSimpleName());
            }
        }
    }

    private void execute(ForwardingEffect effect) {
        if (effect instanceof ForwardingEffect.Log log) {
            metrics.countDecision(log.decision().kind());
            decisions.write(log.decision());
        } else if (effect instanceof ForwardingEffect.SendToPeer toPeer) {
            peers.send(toPeer.peer(), toPeer.message());
        } else if (effect instanceof ForwardingEffect.OpenPeerConnection open) {
            peers.watch(open.peer());
        } else if (effect instanceof ForwardingEffect.ClosePeerConnection close) {
            peers.unwatch(close.peer());
        } else if (effect instanceof ForwardingEffect.Command command) {
            sendCommand(command.command());
        } else if (effect instanceof ForwardingEffect.CheckConnection check) {
            runnerCallConnections.check(
                    check.address(),
                    () -> context.submit(new ForwardingEvent.ConnectionRefused(check.endpoint(), check.started())));
        } else if (effect instanceof ForwardingEffect.Inspect inspect) {
            inspect(inspect);
        } else if (effect instanceof ForwardingEffect.ReadNewest read) {
            logClient.readNewest(read);
        } else if (effect instanceof ForwardingEffect.ReadFrom read) {
            logClient.readFrom(read);
        } else if (effect instanceof ForwardingEffect.AppendClaim append) {
            logClient.append(append);
        } else if (effect instanceof ForwardingEffect.AppendPartRefusal append) {
            logClient.append(append);
        } else if (effect instanceof ForwardingEffect.AppendCrashedRequest append) {
            logClient.append(append);
        } else if (effect instanceof ForwardingEffect.AppendAnnouncement append) {
            logClient.append(append);
        } else if (effect instanceof ForwardingEffect.AppendStreams append) {
            logClient.append(append);
        } else if (effect instanceof ForwardingEffect.AppendVersions append) {
            logClient.append(append);
        } else {
            executeForCaller(effect);
        }
    }

    private void executeForCaller(ForwardingEffect effect) {
        if (effect instanceof ForwardingEffect.Send send) {
            exchange(send.exchange()).ifPresent(exchange -> exchange.send(send));
        } else if (effect instanceof ForwardingEffect.Deliver deliver) {
            exchange(deliver.exchange()).ifPresent(CallerExchange::deliver);
        } else if (effect instanceof ForwardingEffect.Refuse refuse) {
            exchange(refuse.exchange()).ifPresent(exchange -> exchange.refuse(refuse));
        } else if (effect instanceof ForwardingEffect.Fail fail) {
            exchange(fail.exchange()).ifPresent(exchange -> exchange.fail(fail.reason()));
        } else if (effect instanceof ForwardingEffect.CancelAttempt cancel) {
            exchange(cancel.exchange()).ifPresent(CallerExchange::cancelAttempt);
        }
    }

    private Optional<CallerExchange> exchange(long number) {
        return Optional.ofNullable(exchanges.get(number));
    }

    private void sendCommand(AdapterCommand command) {
        callRunner(
                command.load() ? "load" : "unload",
                command.endpoint(),
                command.address(),
                protocols.endpoints().commandRequest(command),
                COMMAND_TIMEOUT,
                response -> context.submit(new ForwardingEvent.CommandAnswered(
                        command,
                        response.map(protocols.endpoints()::parseCommandResult).orElse(CommandResult.UNKNOWN))));
    }

    private void inspect(ForwardingEffect.Inspect inspect) {
        callRunner(
                "inspect",
                inspect.endpoint(),
                inspect.address(),
                protocols.endpoints().inspectionRequest(inspect),
                INSPECTION_TIMEOUT,
                response -> context.submit(new ForwardingEvent.Inspected(
                        inspect.endpoint(), response.flatMap(protocols.endpoints()::parseRunnerState))));
    }

    private void callRunner(
            String operation,
            EndpointId endpoint,
            NetworkAddress address,
            FullHttpRequest request,
            Duration timeout,
            Consumer<Optional<FullHttpResponse>> callback) {
        Instant sentAt = context.now();
        ResponseAggregator.send(
                runnerCallConnections,
                address,
                request,
                timeout,
                MAXIMUM_RUNNER_RESPONSE_BYTES,
                () -> {},
                metrics.timeRunnerCall(operation, clock, response -> {
                    response.flatMap(received -> protocols.endpoints().parseNotice(received, endpoint, context.now()))
                            .filter(notice -> !notice.isEmpty())
                            .ifPresent(notice -> context.submit(
                                    new ForwardingEvent.EndpointNoticeReceived(endpoint, sentAt, notice)));
                    callback.accept(response);
                }));
    }

    private final class DaemonContext implements ForwarderContext {
        @Override
        public void submit(ForwardingEvent event) {
            if (clock.detectGap()) {
                executeAll(reducer.apply(new ForwardingEvent.ClockGap(), clock.instant()));
            }
            executeAll(reducer.apply(event, clock.instant()));
        }

        @Override
        public Instant now() {
            return clock.instant();
        }

        @Override
        public Instant earliestArrival() {
            return reducer.earliestArrival(clock.instant());
        }

        @Override
        public Instant nextRead() {
            return reducer.nextRead(clock.instant());
        }

        @Override
        public Protocols protocols() {
            return protocols;
        }

        @Override
        public ForwarderMetrics metrics() {
            return metrics;
        }

        @Override
        public ConnectionMemoryBudget memory() {
            return memory;
        }

        @Override
        public void log(DecisionRecord decision) {
            metrics.countDecision(decision.kind());
            decisions.write(decision);
        }

        @Override
        public EndpointConnectionPool connections() {
            return connections;
        }

        @Override
        public RequestLimits limits() {
            return reducer.configuration().map(ForwardingConfiguration::limits).orElse(RequestLimits.DEFAULT);
        }

        @Override
        public boolean isLimited(EndpointId endpoint) {
            return reducer.isLimited(endpoint);
        }

        @Override
        public boolean isStopping() {
            return stopping;
        }

        @Override
        public long nextExchangeNumber() {
            return ++lastExchangeNumber;
        }

        @Override
        public void register(CallerExchange exchange) {
            exchanges.put(exchange.number(), exchange);
        }

        @Override
        public void unregister(long exchange) {
            exchanges.remove(exchange);
        }

        @Override
        public void opened(CallerConnection connection) {
            callerConnections.add(connection);
        }

        @Override
        public void closed(CallerConnection connection) {
            callerConnections.remove(connection);
        }

        @Override
        public void logUndelivered(UndeliveredResponse response) {
            Instant now = now();
            boolean expected = !stopping && response.endedBy() == UndeliveredResponse.EndedBy.CALLER;
            Object[] fields = {
                "request",
                response.requestId(),
                "ended-by",
                response.endedBy(),
                "phase",
                !stopping ? "RUNNING" : !endedRequests && now.isBefore(stopDeadline) ? "STOPPING" : "ENDING",
                "stop-remaining-ms",
                stopping ? Duration.between(now, stopDeadline).toMillis() : -1,
                "queued-bytes",
                response.queuedBytes(),
                "sent-bytes",
                response.sentBytes()
            };
            DecisionRecord decision = expected
                    ? DecisionRecord.of("answer-undelivered", fields)
                    : DecisionRecord.important("answer-undelivered", fields);
            log(decision);
        }
    }

    /** Turns callbacks of the peer transport, which come on the daemon's thread, into events. */
    private final class PeerEventAdapter implements PeerListener {
        @Override
        public void connected(HostIdentity peer) {
            context.submit(new ForwardingEvent.PeerConnected(peer));
        }

        @Override
        public void unreachable(HostId peer) {
            context.submit(new ForwardingEvent.PeerUnreachable(peer));
        }

        @Override
        public void received(HostIdentity sender, PeerMessage message) {
            context.submit(new ForwardingEvent.PeerMessageReceived(sender, message));
        }
    }
}
