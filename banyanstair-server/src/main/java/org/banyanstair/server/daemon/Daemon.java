package org.banyanstair.server.daemon;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import org.banyanstair.external.http.HttpEngineClient;
import org.banyanstair.external.http.HttpHostListSource;
import org.banyanstair.external.http.HttpLogService;
import org.banyanstair.external.http.HttpPlainServiceClient;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Event;
import org.banyanstair.reducer.HostReducer;
import org.banyanstair.server.http.caller.CallerHttpServer;
import org.banyanstair.server.http.metrics.BurnRateRecorder;
import org.banyanstair.server.http.metrics.RequestMetrics;
import org.banyanstair.server.http.metrics.RequestRecorder;
import org.banyanstair.server.http.operator.OperatorHttpServer;
import org.banyanstair.server.settings.DaemonSettings;
import org.banyanstair.transport.NettyPeerTransport;
import org.banyanstair.transport.PeerListener;
import org.tinylog.Logger;

/** Daemon of an entry host. It creates, starts and stops its components. */
public final class Daemon {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    /** Time within which the other hosts no longer give this host's address after they were told that it leaves. */
    private static final Duration LEAVING_MESSAGE_TIME = Duration.ofSeconds(1);

    private final DaemonSettings settings;
    private final Clock clock = Clock.systemUTC();
    private final HostIdentity identity;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final CountDownLatch stopRequested = new CountDownLatch(1);
    private final HttpLogService log;
    private final HttpHostListSource hostList;
    private final HttpEngineClient engines;
    private final HttpPlainServiceClient services;
    private final EventLoop loop;
    private final LogTailer logTailer;
    private final HostListPoller hostListPoller;
    private final NettyPeerTransport peers;
    private final HostService service;
    private final CallerHttpServer callerServer;
    private final OperatorHttpServer operatorServer;

    /**
     * Creates the daemon, which does nothing before {@link #start}.
     *
     * @param settings validated settings
     */
    public Daemon(DaemonSettings settings) {
        this.settings = settings;
        Instant startedAt = clock.instant();
        this.identity = new HostIdentity(settings.host().id(), startedAt.toEpochMilli());
        ComponentFactory components = new ComponentFactory(settings, identity, clock);
        this.log = components.log();
        this.hostList = components.hostList();
        this.engines = components.engines();
        this.services = components.services();
        HostReducer reducer = new HostReducer(identity, components.reducerSettings(), startedAt);
        EffectDispatcher effects = new EffectDispatcher(clock, event -> submit(event));
        GenerationExecutor generationExecutor = new GenerationExecutor(engines, event -> submit(event));
        this.service = new HostService(
                identity.host(),
                Duration.ofMillis(settings.limits().entryAddressKeepMilliseconds()),
                clock,
                generationExecutor,
                event -> submit(event));
        this.loop = new EventLoop(reducer, clock, effects, service::publish);
        this.logTailer = new LogTailer(log, clock, timer, loop::submit);
        this.hostListPoller = new HostListPoller(
                identity.host(),
                hostList,
                Duration.ofMillis(settings.timing().hostListPollMilliseconds()),
                timer,
                loop::submitHostListUpdate);
        this.peers = components.peers(hostListPoller::peerAddress, peerListener());
        registerEffectHandlers(effects, generationExecutor);
        MetricRegistry registry = new MetricRegistry();
        new TransportMetrics(registry, peers::counters).register();
        RequestMetrics metrics = new RequestMetrics(registry);
        BurnRateRecorder burnRates = new BurnRateRecorder(identity.host(), clock, service::configuration);
        RequestRecorder requestRecorder = new RequestRecorder(identity.host(), metrics, burnRates);
        this.callerServer = components.callerServer(service, requestRecorder);
        this.operatorServer = components.operatorServer(service, burnRates, registry);
    }

    private void submit(Function<Instant, Event> event) {
        loop.submit(event);
    }

    private void registerEffectHandlers(EffectDispatcher effects, GenerationExecutor generationExecutor) {
        effects.registerPeerEffects(peers);
        effects.registerLogEffects(log, logTailer);
        effects.registerEngineEffects(engines);
        effects.registerServiceEffects(services);
        effects.registerGenerationEffects(generationExecutor);
        service.registerReplyEffects(effects);
        effects.register(Effect.Report.class, new NoticeLogger(identity.host())::write);
        effects.register(Effect.BeginDrain.class, effect -> stopRequested.countDown());
    }

    private PeerListener peerListener() {
        return new PeerListener() {
            @Override
            public void connected(HostIdentity peer) {
                loop.submit(at -> new Event.PeerConnected(at, peer));
            }

            @Override
            public void unreachable(HostId peer) {
                loop.submit(at -> new Event.PeerUnreachable(at, peer));
            }

            @Override
            public void received(HostIdentity sender, PeerMessage message) {
                loop.submit(at -> new Event.PeerMessageReceived(at, sender, message));
            }
        };
    }

    /** Starts all components. The HTTP interfaces respond immediately and report whether the host is ready. */
    public void start() {
        peers.start();
        loop.start();
        hostListPoller.start();
        callerServer.start();
        operatorServer.start();
        Logger.info(
                "host={} started, callers on {}, operators on {}",
                identity,
                settings.listen().caller(),
                settings.listen().operator());
    }

    /**
     * Waits until the host is ready or a stop is requested.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitReady() throws InterruptedException {
        while (stopRequested.getCount() > 0 && service.notReadyReason().isPresent()) {
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }

    /** Makes {@link #awaitStop} return; used for SIGTERM. */
    public void requestStop() {
        stopRequested.countDown();
    }

    /**
     * Waits until a stop is requested, by a signal or by an operator.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitStop() throws InterruptedException {
        stopRequested.await();
    }

    /**
     * Drains and stops the host: notifies the other hosts, serves callers that still use this host's address, hands
     * over its pools, and returns when no request is in flight or the drain limit has passed.
     *
     * @return true if no request in flight was aborted
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean drainAndStop() throws InterruptedException {
        Instant drainDeadline = clock.instant().plusMillis(settings.limits().drainLimitMilliseconds());
        Instant entryAddressesExpireAt = clock.instant()
                .plusMillis(settings.timing().hostListPollMilliseconds())
                .plus(LEAVING_MESSAGE_TIME)
                .plusMillis(settings.limits().entryAddressKeepMilliseconds());
        Logger.info("host={} draining until {}", identity, drainDeadline);
        loop.submit(Event.DrainStarted::new);
        while (clock.instant().isBefore(drainDeadline) && !isDrained(entryAddressesExpireAt)) {
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        boolean clean = callerServer.stop(drainDeadline) && service.snapshot().inFlight() == 0;
        stop();
        Logger.info("host={} stopped, clean={}", identity, clean);
        return clean;
    }

    private boolean isDrained(Instant entryAddressesExpireAt) {
        HostSnapshot snapshot = service.snapshot();
        boolean noOtherHosts = snapshot.usableHosts().isEmpty();
        boolean poolsHandedOver = !snapshot.ownsPools() || noOtherHosts;
        return snapshot.draining()
                && poolsHandedOver
                && snapshot.inFlight() == 0
                && (noOtherHosts || !clock.instant().isBefore(entryAddressesExpireAt));
    }

    private void stop() {
        operatorServer.stop(clock.instant());
        logTailer.stop();
        timer.shutdownNow();
        loop.stop();
        peers.stop();
        engines.stop();
        services.stop();
        log.stop();
        hostList.stop();
    }
}
