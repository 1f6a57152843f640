package org.banyanstair.testsupport.service;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.endpoint.EndpointStandInServer;
import org.banyanstair.testsupport.endpoint.Exchange;
import org.banyanstair.testsupport.endpoint.FaultSettings;
import org.banyanstair.testsupport.endpoint.SettingsArguments;

/**
 * Simulates a plain service that accepts orders and stock lookups; it does not deduplicate orders.
 *
 * <p>Calls run on one thread in the order of arrival. Form bodies are not recorded, because Jooby consumes them.
 */
public final class PlainServiceStandIn {
    private final PlainServiceSettings settings;
    private final FaultSettings<PlainServiceFault> faults = new FaultSettings<>(PlainServiceFault.class);
    private final List<ServiceRun> runs = new ArrayList<>();
    private final EndpointStandInServer server;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread created = new Thread(task, "plain-service");
        created.setDaemon(true);
        return created;
    });
    private int orders;

    /** Creates a service that is not started. */
    public PlainServiceStandIn(PlainServiceSettings settings) {
        this.settings = settings;
        this.server = new EndpointStandInServer(settings.port(), this::registerRoutes);
    }

    /**
     * Runs the service as a process until it is terminated.
     *
     * @param arguments {@code --set name=value} for each setting that differs from the default
     */
    public static void main(String[] arguments) {
        // Standard output must hold only the address line, which the process launcher waits for.
        System.setProperty("tinylog.level", "warn");
        PlainServiceStandIn service =
                new PlainServiceStandIn(SettingsArguments.parse(arguments, PlainServiceSettings.DEFAULT));
        service.start();
        System.out.println("ready " + service.address());
    }

    /** Starts listening. */
    public void start() {
        server.start();
    }

    /** Closes all connections and stops. */
    public void stop() {
        server.stop();
        executor.shutdownNow();
    }

    /** Returns the address that the service listens on. */
    public NetworkAddress address() {
        return server.address();
    }

    /** Returns the calls that have run, in order. */
    public List<ServiceRun> record() {
        synchronized (runs) {
            return List.copyOf(runs);
        }
    }

    /**
     * Sets a fault.
     *
     * @param value count, milliseconds or flag, see {@link PlainServiceFault}; 0 to clear the fault
     */
    public void setFault(PlainServiceFault fault, long value) {
        if (fault != PlainServiceFault.REFUSE_CONNECTIONS_MILLISECONDS) {
            faults.set(fault, value);
        } else if (value > 0) {
            server.suspend(Duration.ofMillis(value), () -> {});
        }
    }

    /** Applies faults before the response, except that connections are refused only after it. */
    private void putFaults(Exchange exchange, Map<PlainServiceFault, Long> parsed) {
        long refusal = parsed.getOrDefault(PlainServiceFault.REFUSE_CONNECTIONS_MILLISECONDS, 0L);
        parsed.forEach(faults::set);
        exchange.respond(200, parsed);
        setFault(PlainServiceFault.REFUSE_CONNECTIONS_MILLISECONDS, refusal);
    }

    private void registerRoutes(EndpointStandInServer.Routes routes) {
        routes.on("GET", "/record", exchange -> exchange.respond(200, Map.of("runs", record())));
        routes.on("PUT", "/faults", exchange -> {
            Map<PlainServiceFault, Long> parsed = faults.parse(exchange.json());
            executor.execute(() -> putFaults(exchange, parsed));
        });
        routes.on("POST", "/orders", exchange -> executor.execute(() -> order(exchange)));
        routes.on("GET", "/stock/{item}", exchange -> executor.execute(() -> stock(exchange)));
        for (String method : List.of("GET", "POST", "PUT", "DELETE", "PATCH")) {
            routes.on(method, "/*", exchange -> executor.execute(() -> echo(exchange)));
        }
    }

    private void order(Exchange exchange) {
        runCall(exchange, 201, () -> Map.of("order", "order-" + ++orders));
    }

    private void stock(Exchange exchange) {
        String item = exchange.context().path("item").value();
        runCall(exchange, 200, () -> Map.of("item", item, "quantity", settings.stock()));
    }

    private void echo(Exchange exchange) {
        String body = new String(exchange.body(), StandardCharsets.UTF_8);
        String method = exchange.context().getMethod();
        runCall(exchange, 200, () -> Map.of("method", method, "path", path(exchange), "body", body));
    }

    private static String path(Exchange exchange) {
        return exchange.context().getRequestPath() + exchange.context().queryString();
    }

    private void runCall(Exchange exchange, int status, java.util.function.Supplier<Object> call) {
        if (faults.isSet(PlainServiceFault.OUTAGE)) {
            exchange.respondError(503, "outage", "the service is down and did not run the call");
            return;
        }
        Object answer = call.get();
        boolean responseLost = faults.consume(PlainServiceFault.LOSE_ANSWERS);
        long delay = faults.value(PlainServiceFault.DELAY_MILLISECONDS);
        Instant now = Instant.now();
        ServiceRun run = new ServiceRun(
                exchange.header("X-Request-Id").orElse(""),
                exchange.context().getMethod(),
                path(exchange),
                new String(exchange.body(), StandardCharsets.UTF_8),
                now,
                now.plusMillis(delay),
                !responseLost);
        synchronized (runs) {
            runs.add(run);
        }
        Runnable response = responseLost ? exchange::closeConnection : () -> exchange.respond(status, answer);
        if (delay > 0) {
            executor.schedule(response, delay, TimeUnit.MILLISECONDS);
        } else {
            response.run();
        }
    }
}
