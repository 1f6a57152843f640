package org.banyanstair.server.http.operator;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.banyanstair.burn.BurnRateSnapshot;
import org.banyanstair.configuration.ChangeVerdict;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.metrics.PrometheusText;
import org.banyanstair.model.HostId;
import org.banyanstair.server.http.BearerAuthenticator;
import org.banyanstair.server.http.ErrorResponse;
import org.banyanstair.server.http.Exchange;
import org.banyanstair.server.http.HttpListener;
import org.banyanstair.server.http.HttpListenerOptions;
import org.banyanstair.server.service.OperatorService;
import org.tinylog.Logger;

/** HTTP interface for operators. All routes except health, readiness and metrics require an operator key. */
public final class OperatorHttpServer {
    private static final String API_PREFIX = "/operator/v1";

    private final OperatorService service;
    private final BearerAuthenticator<String> keys;
    private final HttpListener listener;

    /**
     * Creates the server.
     *
     * @param options address and limits
     * @param operatorKeys bearer keys of the operators
     * @param service handles the requests
     * @param notReadyReason why the host is not ready, empty if it is ready
     * @param burn supplies the burn samples of this host
     * @param registry metrics of this host
     */
    public OperatorHttpServer(
            HttpListenerOptions options,
            OperatorKeys operatorKeys,
            OperatorService service,
            Supplier<Optional<Failure>> notReadyReason,
            Supplier<BurnRateSnapshot> burn,
            MetricRegistry registry) {
        this.service = service;
        keys = new BearerAuthenticator<>(operatorKeys.keys());
        PrometheusText metrics = new PrometheusText(registry);
        listener = new HttpListener("operators", options).addHealthRoutes(notReadyReason);
        listener.route(
                "GET",
                "/metrics",
                exchange -> exchange.respond(200, Optional.of(PrometheusText.CONTENT_TYPE), metrics.write()));
        route("GET", "/configuration", (exchange, operator) -> exchange.respondJson(200, service.configuration()));
        route("POST", "/changes", this::submit);
        route("GET", "/changes/{id}", (exchange, operator) -> verdict(exchange));
        route("GET", "/status", (exchange, operator) -> respondWith(exchange, service.status()));
        route("GET", "/endpoints", (exchange, operator) -> respondWith(exchange, service.endpoints()));
        route("POST", "/hosts/{host}/drain", this::drain);
        route("GET", "/burn", (exchange, operator) -> exchange.respondJson(200, burn.get()));
    }

    private void route(String method, String path, BiConsumer<Exchange, String> handler) {
        listener.route(method, API_PREFIX + path, exchange -> {
            try {
                handler.accept(exchange, keys.authenticate(exchange));
            } catch (FailureException exception) {
                fail(exchange, exception.failure());
            }
        });
    }

    private void submit(Exchange exchange, String operator) {
        ConfigurationChange change = ConfigurationChangeParser.parse(exchange.body(), operator);
        onCompletion(exchange, service.submit(change), verdict -> {
            Logger.info("change={} operator={} verdict={}", change.changeId(), operator, verdict);
            if (verdict instanceof ChangeVerdict.Refused refused) {
                fail(exchange, refused.failure());
            } else {
                exchange.respondJson(200, verdict);
            }
        });
    }

    private void verdict(Exchange exchange) {
        String id = exchange.pathVariable("id");
        onCompletion(
                exchange,
                service.verdict(id),
                found -> found.ifPresentOrElse(
                        verdict -> exchange.respondJson(200, verdict),
                        () -> fail(exchange, new Failure.UnknownChange(id))));
    }

    private void drain(Exchange exchange, String operator) {
        HostId host = new HostId(exchange.pathVariable("host"));
        Logger.info("drain of host={} requested by operator={}", host, operator);
        onCompletion(
                exchange,
                service.drain(host),
                failure -> failure.ifPresentOrElse(
                        reason -> fail(exchange, reason), () -> exchange.respondJson(202, Map.of("host", host))));
    }

    private static void respondWith(Exchange exchange, CompletableFuture<?> value) {
        onCompletion(exchange, value, result -> exchange.respondJson(200, result));
    }

    private static <T> void onCompletion(Exchange exchange, CompletableFuture<T> future, Consumer<T> consumer) {
        future.whenComplete((value, error) -> {
            if (error == null) {
                consumer.accept(value);
            } else {
                Logger.error(error, "{} {} failed without a result", exchange.method(), exchange.uri());
                fail(exchange, new Failure.InternalError());
            }
        });
    }

    private static void fail(Exchange exchange, Failure failure) {
        exchange.respond(ErrorResponse.withDetails(failure));
    }

    /** Binds the port and starts to accept requests. */
    public void start() {
        listener.start();
    }

    /**
     * Stops gracefully: accepts no further connections, waits for requests in flight, and closes all connections.
     *
     * @param deadline time at which requests still in flight are aborted
     * @return whether all requests ended before the deadline
     */
    public boolean stop(Instant deadline) {
        return listener.stop(deadline);
    }

    /** Returns the bound port. */
    public int port() {
        return listener.port();
    }
}
