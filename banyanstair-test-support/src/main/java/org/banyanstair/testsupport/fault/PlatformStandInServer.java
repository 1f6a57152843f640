package org.banyanstair.testsupport.fault;

import java.net.BindException;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import io.jooby.netty.NettyServer;
import org.banyanstair.model.NetworkAddress;
import org.tinylog.Logger;

/**
 * HTTP server of the platform stand-ins; applies injected faults to their operations.
 *
 * <p>Routes must be added before {@link #start}. Control requests ({@code /faults}, {@code /counters}) are not affected
 * by delays, lost responses or {@link Outage#UNAVAILABLE}.
 */
public final class PlatformStandInServer {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int IO_THREADS = 4;

    /** The previous server closes its socket asynchronously, so binding its port again may take several attempts. */
    private static final int BIND_ATTEMPTS = 100;

    private static final long BIND_RETRY_PAUSE_MILLIS = 20;

    private final FaultInjector injector = new FaultInjector(Clock.systemUTC());
    private final Counters counters = new Counters();
    private final List<Consumer<Jooby>> routes = new ArrayList<>();
    private final OpenConnections connections = new OpenConnections();
    private final ScheduledExecutorService timer;
    private final OperationRunner runner;
    private final int requestedPort;
    private int port;
    private NettyServer server;
    private ReservedPort reservedPort;
    private ScheduledFuture<?> outageEnd;

    /**
     * Creates a server that is not started.
     *
     * @param port TCP port on the loopback interface, 0 for a free one
     */
    public PlatformStandInServer(int port) {
        requestedPort = port;
        timer = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "stand-in-timer");
            thread.setDaemon(true);
            return thread;
        });
        runner = new OperationRunner(injector, counters, timer);
        counters.declare("unavailable", "lostAnswers");
    }

    /**
     * Adds an operation that is subject to faults.
     *
     * @param pattern path with variables in braces
     */
    public PlatformStandInServer operation(String method, String pattern, Operation operation) {
        routes.add(app -> app.route(method, pattern, context -> runner.withFaults(context, operation)));
        return this;
    }

    /**
     * Adds a control request, which is not subject to faults.
     *
     * @param pattern path with variables in braces
     */
    public PlatformStandInServer control(String method, String pattern, Operation operation) {
        routes.add(app -> app.route(method, pattern, context -> runner.withoutFaults(context, operation)));
        return this;
    }

    /**
     * Adds routes directly to Jooby, for streaming responses. Handlers run on an event loop and must consult
     * {@link #injector} themselves.
     */
    public PlatformStandInServer routes(Consumer<Jooby> registration) {
        routes.add(registration);
        return this;
    }

    /**
     * Adds {@code GET /faults}, {@code PUT /faults} and {@code GET /counters}.
     *
     * @param type fault record of the stand-in
     * @param shared gets the common faults from the record
     * @param reader returns the faults in force
     * @param writer applies faults; an {@link IllegalArgumentException} results in status 400
     */
    public <F> PlatformStandInServer faultControls(
            Class<F> type, Function<F, Faults> shared, Supplier<F> reader, Consumer<F> writer) {
        control("GET", "/faults", request -> CompletableFuture.completedFuture(Reply.json(200, reader.get())));
        control("PUT", "/faults", request -> {
            F faults = request.json(type);
            requireOutageEnd(shared.apply(faults));
            writer.accept(faults);
            return CompletableFuture.completedFuture(Reply.json(200, reader.get()));
        });
        return control(
                "GET", "/counters", request -> CompletableFuture.completedFuture(Reply.json(200, counters.snapshot())));
    }

    private static void requireOutageEnd(Faults faults) {
        if (faults.outage() == Outage.REFUSED && faults.outageUntil().isEmpty()) {
            throw new IllegalArgumentException("outageUntil is required for REFUSED, which also refuses PUT /faults");
        }
    }

    /** Returns the injector that holds the faults in force. */
    public FaultInjector injector() {
        return injector;
    }

    /** Returns the operation counts. */
    public Counters counters() {
        return counters;
    }

    /** Returns the single-threaded timer that delays operations; tasks on it must be short. */
    public ScheduledExecutorService timer() {
        return timer;
    }

    /**
     * Applies faults. The listening socket is opened or closed asynchronously; see {@link #awaitApplied}.
     */
    public void setFaults(Faults faults) {
        injector.set(faults);
        timer.execute(this::reconcileInBackground);
    }

    /** Waits until the listening socket reflects the faults in force. Must not be called by an operation. */
    public void awaitApplied() {
        CompletableFuture.runAsync(this::reconcile, timer).join();
    }

    /** Starts listening and returns the address. */
    public NetworkAddress start() {
        CompletableFuture.runAsync(this::listen, timer).join();
        return address();
    }

    /** Closes the listening socket and all connections. The server cannot be started again. */
    public void stop() {
        CompletableFuture.runAsync(this::close, timer).join();
        timer.shutdownNow();
    }

    /** Returns the address, which does not change during outages. */
    public synchronized NetworkAddress address() {
        return new NetworkAddress(LOOPBACK, port);
    }

    private void reconcileInBackground() {
        try {
            reconcile();
        } catch (RuntimeException exception) {
            Logger.error(
                    exception, "stand-in on port {}: cannot open or close the listening socket for an outage", port);
        }
    }

    private synchronized void reconcile() {
        boolean refuses = injector.get().outage() == Outage.REFUSED;
        if (refuses && server != null) {
            close();
            reservedPort = ReservedPort.reserve(port);
        } else if (!refuses && reservedPort != null) {
            releasePort();
            listen();
        }
        scheduleOutageEnd();
    }

    private void scheduleOutageEnd() {
        if (outageEnd != null) {
            outageEnd.cancel(false);
        }
        injector.get().outageUntil().ifPresent(until -> {
            long delay = Math.max(
                    1, Duration.between(Clock.systemUTC().instant(), until).toMillis() + 1);
            outageEnd = timer.schedule(this::reconcileInBackground, delay, TimeUnit.MILLISECONDS);
        });
    }

    private synchronized void listen() {
        for (int attempt = 1; ; attempt++) {
            try {
                bind();
                return;
            } catch (RuntimeException exception) {
                if (attempt == BIND_ATTEMPTS || !isAddressInUse(exception)) {
                    throw exception;
                }
                sleepBeforeRetry();
            }
        }
    }

    private void bind() {
        ServerOptions options = new ServerOptions()
                .setPort(port == 0 ? requestedPort : port)
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(1);
        options.setHost(LOOPBACK);
        Jooby app = new Jooby();
        app.setExecutionMode(ExecutionMode.EVENT_LOOP);
        app.setStartupSummary(List.of(StartupSummary.NONE));
        app.use(connections.filter());
        routes.forEach(registration -> registration.accept(app));
        NettyServer candidate = new NettyServer();
        candidate.setOptions(options);
        try {
            candidate.start(app);
        } catch (RuntimeException exception) {
            candidate.stop();
            throw exception;
        }
        server = candidate;
        port = options.getPort();
    }

    private static boolean isAddressInUse(Throwable exception) {
        for (Throwable cause = exception; cause != null; cause = cause.getCause()) {
            if (cause instanceof BindException) {
                return true;
            }
        }
        return false;
    }

    private static void sleepBeforeRetry() {
        try {
            Thread.sleep(BIND_RETRY_PAUSE_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }

    private synchronized void close() {
        releasePort();
        if (server != null) {
            server.stop();
            connections.closeAll();
            server = null;
        }
    }

    private void releasePort() {
        if (reservedPort != null) {
            reservedPort.close();
            reservedPort = null;
        }
    }
}
