package org.banyanstair.forwarder;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.banyanstair.forwarder.internal.EndpointConnectionPool;
import org.banyanstair.forwarder.internal.ForwarderContext;
import org.banyanstair.forwarder.internal.ForwarderMetrics;
import org.banyanstair.forwarder.internal.LogClient;
import org.banyanstair.forwarder.internal.QueryConnection;
import org.banyanstair.forwarder.internal.RejectedResponses;
import org.banyanstair.forwarder.internal.ResponseAggregator;
import org.banyanstair.forwarder.internal.ResponseMemoryBudget;
import org.banyanstair.forwarder.internal.ServerSockets;
import org.banyanstair.forwarding.AdapterCommand;
import org.banyanstair.forwarding.CommandResult;
import org.banyanstair.forwarding.DecisionRecord;
import org.banyanstair.forwarding.ForwardingConfiguration;
import org.banyanstair.forwarding.ForwardingEffect;
import org.banyanstair.forwarding.ForwardingEvent;
import org.banyanstair.forwarding.ForwardingReducer;
import org.banyanstair.forwarding.RequestLimits;
import org.banyanstair.metrics.PrometheusText;
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
 * A host that passes requests on: one thread feeds events to the reducer and carries out its effects.
 *
 * <p>Started and stopped once.
 */
public final class ForwarderDaemon {
    /** Longest time to open a connection; a few round trips in one region. */
    private static final Duration CONNECT_LIMIT = Duration.ofMillis(250);

    /**
     * Longest time for a runner's answer to a command; tens of round trips in one region.
     * A command that is carried out later is refused by its sequence.
     */
    private static final Duration COMMAND_LIMIT = Duration.ofMillis(150);

    /** Longest time for a runner's answer to a question for its state; a host that has just started is slow itself. */
    private static final Duration INSPECTION_LIMIT = Duration.ofMillis(500);

    /** Longest answer of a runner about itself; the names of 10,000 adapters take a third of it. */
    private static final int RUNNER_ANSWER_BYTES = 1 << 20;

    /** Time between two messages that keep a connection between hosts. */
    private static final Duration HEARTBEAT = Duration.ofSeconds(1);

    /** Silence after which a connection between hosts is given up. */
    private static final Duration PEER_SILENCE = Duration.ofMillis(2500);

    private final ForwarderSettings settings;
    private final Protocols protocols;
    private final DecisionLog decisions;
    private final ForwardingReducer reducer;
    private final MonotonicClock clock = new MonotonicClock();
    private final ForwarderMetrics metrics = new ForwarderMetrics();
    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, new DefaultThreadFactory("banyanstair-forwarder", false));
    private final EventLoop loop = group.next();
    private final ResponseMemoryBudget answerMemory = new ResponseMemoryBudget(ResponseMemoryBudget.DEFAULT_BYTES);
    private final EndpointConnectionPool connections;
    private final ServerSockets listeners = new ServerSockets(group);
    private final Map<Long, CallerExchange> exchanges = new HashMap<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final DaemonContext shell = new DaemonContext();
    private final LogClient topics;
    private final PeerTransport peers;
    private long lastExchange;
    private volatile boolean stopping;
    private Instant stopBy = Instant.MAX;
    private Instant stopNotBefore = Instant.MAX;

    /**
     * Creates the daemon.
     *
     * @param settings the settings
     * @param protocols the protocols of the surroundings
     * @param decisions where decisions are logged
     */
    public ForwarderDaemon(ForwarderSettings settings, Protocols protocols, DecisionLog decisions) {
        this.settings = settings;
        this.protocols = protocols;
        this.decisions = decisions;
        this.reducer = new ForwardingReducer(settings.forwarding(), protocols.log());
        this.connections = new EndpointConnectionPool(
                loop, CONNECT_LIMIT, answerMemory, new RejectedResponses(metrics, decisions::write));
        this.topics = new LogClient(shell, loop);
        metrics.observe(() -> reducer.status(shell.now()));
        metrics.gauge("endpoint_connections_total", connections::opened);
        metrics.gauge("answer_memory_bytes", answerMemory::used);
        metrics.gauge("log_lines_dropped_total", decisions::dropped);
        this.peers = NettyPeerTransport.onGroup(
                new PeerTransportSettings(
                        settings.forwarding().identity(),
                        "banyanstair",
                        settings.forwarding().announcement().peers(),
                        HEARTBEAT,
                        PEER_SILENCE,
                        CONNECT_LIMIT.multipliedBy(2),
                        PeerTransportSettings.DEFAULT_MAXIMUM_FRAME_BYTES),
                reducer::peerAddress,
                new Peers(),
                clock,
                group);
    }

    /** Starts listening and following the platform. */
    public void start() {
        loop.execute(this::tick);
        peers.start();
        listeners.callers(settings.callers(), () -> shell.limits().headerBytes(), () -> new CallerConnection(shell));
        settings.readiness()
                .ifPresent(address -> listeners.questions(
                        address,
                        () -> new QueryConnection(
                                request -> protocols.directory().answer(request, reducer.isReady()))));
        settings.directory()
                .ifPresent(address -> listeners.questions(
                        address,
                        () -> new QueryConnection(request ->
                                protocols.directory().answer(request, reducer.callerAddresses(shell.now())))));
        listeners.questions(settings.metrics(), () -> new QueryConnection(this::answerMetrics));
        decisions.write(DecisionRecord.important(
                "started", "identity", settings.forwarding().identity(), "callers", settings.callers()));
    }

    /** Stops in order: takes no new callers, answers those that are there, then ends. Returns at once. */
    public void stop() {
        loop.execute(() -> {
            if (!stopping) {
                stopping = true;
                stopBy = shell.now().plus(settings.stopLimit());
                stopNotBefore = shell.now().plus(settings.lateCallers());
                shell.submit(new ForwardingEvent.StopRequested());
            }
        });
    }

    /**
     * Waits until the daemon has stopped.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitStop() throws InterruptedException {
        stopped.await();
    }

    /**
     * Says in the log that the settings were read again.
     *
     * @param reason why
     */
    public void noteReload(String reason) {
        decisions.write(DecisionRecord.important("settings-read", "reason", reason));
    }

    private void tick() {
        shell.submit(new ForwardingEvent.Tick());
        Instant now = shell.now();
        boolean quiet = reducer.openRequests() == 0 && now.isAfter(stopNotBefore);
        if (stopping && (quiet || now.isAfter(stopBy))) {
            decisions.write(DecisionRecord.important("stopped", "open-requests", reducer.openRequests()));
            listeners.close();
            stopped.countDown();
            return;
        }
        loop.schedule(this::tick, reducer.tickInterval().toMillis(), TimeUnit.MILLISECONDS);
    }

    private Optional<FullHttpResponse> answerMetrics(HttpRequest request) {
        if (!request.uri().equals("/metrics")) {
            return Optional.empty();
        }
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, PrometheusText.CONTENT_TYPE);
        response.content().writeBytes(metrics.write());
        return Optional.of(response);
    }

    private void carryOut(List<ForwardingEffect> effects) {
        for (ForwardingEffect effect : effects) {
            try {
                carryOut(effect);
            } catch (RuntimeException exception) {
                Logger.error(exception, "effect failed: {}", effect.getClass().getSimpleName());
            }
        }
    }

    private void carryOut(ForwardingEffect effect) {
        if (effect instanceof ForwardingEffect.Log log) {
            metrics.countDecision(log.decision().kind());
            decisions.write(log.decision());
        } else if (effect instanceof ForwardingEffect.SendToPeer toPeer) {
            peers.send(toPeer.peer(), toPeer.message());
        } else if (effect instanceof ForwardingEffect.OpenPeerConnection watch) {
            peers.watch(watch.peer());
        } else if (effect instanceof ForwardingEffect.ClosePeerConnection unwatch) {
            peers.unwatch(unwatch.peer());
        } else if (effect instanceof ForwardingEffect.Command command) {
            command(command.command());
        } else if (effect instanceof ForwardingEffect.Inspect inspect) {
            inspect(inspect);
        } else if (effect instanceof ForwardingEffect.ReadNewest read) {
            topics.readNewest(read);
        } else if (effect instanceof ForwardingEffect.ReadFrom read) {
            topics.readFrom(read);
        } else if (effect instanceof ForwardingEffect.AppendClaim append) {
            topics.append(append);
        } else if (effect instanceof ForwardingEffect.AppendAnnouncement append) {
            topics.append(append);
        } else {
            carryOutForCaller(effect);
        }
    }

    private void carryOutForCaller(ForwardingEffect effect) {
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

    private void command(AdapterCommand command) {
        ask(
                command.load() ? "load" : "unload",
                command.address(),
                protocols.endpoints().command(command),
                COMMAND_LIMIT,
                answer -> shell.submit(new ForwardingEvent.CommandAnswered(
                        command,
                        answer.map(protocols.endpoints()::commandResult).orElse(CommandResult.UNKNOWN))));
    }

    private void inspect(ForwardingEffect.Inspect inspect) {
        ask(
                "inspect",
                inspect.address(),
                protocols.endpoints().inspection(inspect),
                INSPECTION_LIMIT,
                answer -> shell.submit(new ForwardingEvent.Inspected(
                        inspect.endpoint(), answer.flatMap(protocols.endpoints()::runnerState))));
    }

    private void ask(
            String operation,
            NetworkAddress address,
            FullHttpRequest request,
            Duration limit,
            Consumer<Optional<FullHttpResponse>> receiver) {
        ResponseAggregator.request(
                connections,
                loop,
                address,
                request,
                limit,
                RUNNER_ANSWER_BYTES,
                metrics.timeRunnerCall(operation, clock, receiver));
    }

    private final class DaemonContext implements ForwarderContext {
        @Override
        public void submit(ForwardingEvent event) {
            if (clock.hasGap()) {
                carryOut(reducer.apply(new ForwardingEvent.ClockGap(), clock.instant()));
            }
            carryOut(reducer.apply(event, clock.instant()));
        }

        @Override
        public Instant now() {
            return clock.instant();
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
        public EndpointConnectionPool connections() {
            return connections;
        }

        @Override
        public RequestLimits limits() {
            return reducer.configuration().map(ForwardingConfiguration::limits).orElse(RequestLimits.DEFAULT);
        }

        @Override
        public boolean isStopping() {
            return stopping;
        }

        @Override
        public long nextExchange() {
            return ++lastExchange;
        }

        @Override
        public void open(CallerExchange exchange) {
            exchanges.put(exchange.number(), exchange);
        }

        @Override
        public void forget(long exchange) {
            exchanges.remove(exchange);
        }
    }

    /** Hears the transport on the daemon's own thread. */
    private final class Peers implements PeerListener {
        @Override
        public void connected(HostIdentity peer) {
            shell.submit(new ForwardingEvent.PeerConnected(peer));
        }

        @Override
        public void unreachable(HostId peer) {
            shell.submit(new ForwardingEvent.PeerUnreachable(peer));
        }

        @Override
        public void received(HostIdentity sender, PeerMessage message) {
            shell.submit(new ForwardingEvent.PeerMessageReceived(sender, message));
        }
    }
}
