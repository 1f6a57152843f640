package org.banyanstair.server.http;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import org.banyanstair.errors.Failure;

/** HTTP server on one port. Routes must be added before {@link #start}. */
public final class HttpListener {
    private static final long DRAIN_POLL_MILLISECONDS = 10;

    private final HttpListenerOptions options;
    private final ListenerState state = new ListenerState();
    private final JoobyNettyServer server;
    private final Jooby application = new Jooby();

    /**
     * Creates a listener without routes.
     *
     * @param name name of the interface, for log lines
     * @param options address and limits
     */
    public HttpListener(String name, HttpListenerOptions options) {
        this.options = options;
        server = new JoobyNettyServer(options, state);
        application.setName(name);
        application.setExecutionMode(ExecutionMode.EVENT_LOOP);
        // By default, Jooby creates a temporary directory in the working directory; nothing is written to either of
        // them.
        application.setTmpdir(Path.of(System.getProperty("java.io.tmpdir")));
        application.setStartupSummary(List.of());
        application.error(this::fail);
    }

    /**
     * Adds a route.
     *
     * @param method HTTP method
     * @param pattern Jooby path pattern
     */
    public HttpListener route(String method, String pattern, ExchangeHandler handler) {
        application.route(
                method,
                pattern,
                context -> context.detach(detached -> {
                    handle(detached, handler);
                    return detached;
                }));
        return this;
    }

    /**
     * Adds a route for all methods.
     *
     * @param pattern Jooby path pattern
     */
    public HttpListener routeAllMethods(String pattern, ExchangeHandler handler) {
        Exchange.methods().forEach(method -> route(method, pattern, handler));
        return this;
    }

    /**
     * Adds {@code /health} and {@code /ready}, which require no key.
     *
     * @param notReadyReason why the host is not ready, empty if it is ready
     */
    public HttpListener addHealthRoutes(Supplier<Optional<Failure>> notReadyReason) {
        route("GET", "/health", exchange -> exchange.respondJson(200, new HealthStatus("ok")));
        return route("GET", "/ready", exchange -> notReadyReason
                .get()
                .ifPresentOrElse(exchange::fail, () -> exchange.respondJson(200, new HealthStatus("ready"))));
    }

    private record HealthStatus(String status) {}

    private void handle(Context context, ExchangeHandler handler) {
        Exchange exchange = new Exchange(context, ConnectionHandler.dispatched(), options.streamBufferBytes());
        try {
            handler.handle(exchange);
        } catch (RuntimeException exception) {
            exchange.fail(exception);
        }
    }

    private void fail(Context context, Throwable cause, StatusCode code) {
        Exchange exchange = new Exchange(context, ConnectionHandler.dispatched(), options.streamBufferBytes());
        if (code.value() == 404 || code.value() == 405) {
            exchange.fail(new Failure.UnknownPath(context.getMethod(), context.getRequestPath()));
        } else {
            exchange.fail(cause);
        }
    }

    /** Binds the port and starts to accept requests. */
    public void start() {
        server.start(application);
    }

    /**
     * Stops gracefully: accepts no further connections, waits for requests in flight, and closes all connections.
     *
     * <p>Requests that arrive on open connections in the meantime are served, including those received in part; their
     * responses ask the client to close the connection.
     *
     * @param deadline time at which requests still in flight are aborted
     * @return whether all requests ended before the deadline
     */
    public boolean stop(Instant deadline) {
        state.drain();
        server.stopAccepting();
        while (!state.connections().isEmpty() && Instant.now().isBefore(deadline)) {
            if (state.inFlight() == 0) {
                state.closeIdleConnections();
            }
            sleep(deadline);
        }
        boolean drained = state.inFlight() == 0;
        server.stop();
        return drained;
    }

    private static void sleep(Instant deadline) {
        try {
            long left = Duration.between(Instant.now(), deadline).toMillis();
            Thread.sleep(Math.max(1, Math.min(DRAIN_POLL_MILLISECONDS, left)));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the bound port. */
    public int port() {
        return server.port();
    }

    /** Returns the number of requests that have arrived and whose response has not been sent completely. */
    public int inFlight() {
        return state.inFlight();
    }
}
