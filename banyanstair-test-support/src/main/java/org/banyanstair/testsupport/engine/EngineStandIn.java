package org.banyanstair.testsupport.engine;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.endpoint.EndpointStandInServer;
import org.banyanstair.testsupport.endpoint.Exchange;
import org.banyanstair.testsupport.endpoint.FaultSettings;
import org.banyanstair.testsupport.endpoint.SettingsArguments;

/**
 * Simulates a model engine; generates deterministic text instead of running a model.
 *
 * <p>Thread-safe. One scheduler thread owns all state; HTTP handlers and public methods submit their work to it.
 */
public final class EngineStandIn {
    private final EngineSettings settings;
    private final FaultSettings<EngineFault> faults = new FaultSettings<>(EngineFault.class);
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "engine-scheduler");
        thread.setDaemon(true);
        return thread;
    });
    private final MutableEngineCounters counts = new MutableEngineCounters();
    private final RunLog runLog = new RunLog();
    private final EndpointStandInServer server;
    private final AdapterSlots slots;
    private final Batch batch;
    private final PrefixCache cache;
    private final DelayedStatusReport status;
    private long incarnation = System.currentTimeMillis();
    private boolean restarting;

    /** Creates an engine that is not started. */
    public EngineStandIn(EngineSettings settings) {
        this.settings = settings;
        this.cache = new PrefixCache(settings);
        EngineResources resources = new EngineResources(settings, faults, scheduler, counts, runLog);
        this.slots = new AdapterSlots(resources);
        this.batch = new Batch(resources, cache, slots::isLoaded, this::crash);
        this.status = new DelayedStatusReport(settings.statusLagMilliseconds(), this::currentStatus);
        this.server = new EndpointStandInServer(settings.port(), this::registerRoutes);
    }

    /**
     * Runs the engine as a process until it is terminated.
     *
     * @param arguments {@code --set name=value} for each setting that differs from the default
     */
    public static void main(String[] arguments) {
        // Standard output must hold only the address line, which the process launcher waits for.
        System.setProperty("tinylog.level", "warn");
        EngineStandIn engine = new EngineStandIn(SettingsArguments.parse(arguments, EngineSettings.DEFAULT));
        engine.start();
        System.out.println("ready " + engine.address());
    }

    /** Starts listening. */
    public void start() {
        server.start();
        batch.startHousekeeping();
        status.start(scheduler);
    }

    /** Closes all connections and stops. */
    public void stop() {
        server.stop();
        scheduler.shutdownNow();
        slots.close();
    }

    /** Returns the address that the engine listens on. */
    public NetworkAddress address() {
        return server.address();
    }

    /** Returns the generations and violations so far. */
    public EngineRecord record() {
        return callOnScheduler(() -> runLog.snapshot(batch.running()));
    }

    /** Returns the counters over all incarnations. */
    public EngineCounters counters() {
        return callOnScheduler(counts::snapshot);
    }

    /**
     * Sets a fault.
     *
     * @param value count, milliseconds or flag, see {@link EngineFault}; 0 to clear the fault
     */
    public void setFault(EngineFault fault, long value) {
        callOnScheduler(() -> {
            applyFault(fault, value);
            return true;
        });
    }

    private void applyFault(EngineFault fault, long value) {
        if (!isOneTimeAction(fault)) {
            faults.set(fault, value);
        } else if (value > 0 && fault == EngineFault.RESTART) {
            crash();
        } else if (value > 0) {
            server.suspend(Duration.ofMillis(value), () -> {});
        }
    }

    private static boolean isOneTimeAction(EngineFault fault) {
        return fault == EngineFault.RESTART || fault == EngineFault.REFUSE_CONNECTIONS_MILLISECONDS;
    }

    /** Applies faults before the response, but one-time actions after it, because these close its connection. */
    private void putFaults(Exchange exchange) {
        Map<EngineFault, Long> parsed = faults.parse(exchange.json());
        parsed.forEach((fault, value) -> applyFault(fault, isOneTimeAction(fault) ? 0 : value));
        exchange.respond(200, parsed);
        parsed.forEach(this::applyFault);
    }

    private <T> T callOnScheduler(Callable<T> action) {
        Future<T> result = scheduler.submit(action);
        try {
            return result.get();
        } catch (InterruptedException | ExecutionException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private void registerRoutes(EndpointStandInServer.Routes routes) {
        registerCommand(routes, "POST", "/v1/chat/completions", exchange -> generate(exchange, true));
        registerCommand(routes, "POST", "/v1/completions", exchange -> generate(exchange, false));
        registerCommand(routes, "POST", "/v1/cancel", this::cancel);
        registerCommand(routes, "POST", "/v1/load_lora_adapter", slots::load);
        registerCommand(routes, "POST", "/v1/unload_lora_adapter", exchange -> slots.unload(exchange, batch));
        registerCommand(routes, "POST", "/v1/role", slots::acceptRole);
        registerCommand(routes, "GET", "/v1/status", exchange -> exchange.respond(200, status.current()));
        registerCommand(routes, "GET", "/v1/cache_events", this::cacheEvents);
        registerCommand(routes, "GET", "/record", exchange -> exchange.respond(200, runLog.snapshot(batch.running())));
        registerCommand(routes, "GET", "/counters", exchange -> exchange.respond(200, counts.snapshot()));
        registerCommand(routes, "PUT", "/faults", this::putFaults);
    }

    private void registerCommand(
            EndpointStandInServer.Routes routes, String method, String path, Consumer<Exchange> action) {
        routes.on(method, path, exchange -> {
            try {
                scheduler.execute(() -> runCommand(exchange, action));
            } catch (RejectedExecutionException exception) {
                exchange.closeConnection();
            }
        });
    }

    private void runCommand(Exchange exchange, Consumer<Exchange> action) {
        if (restarting) {
            // A crashed process never responds to the commands that it has received.
            exchange.closeConnection();
            return;
        }
        try {
            action.accept(exchange);
        } catch (IllegalArgumentException | DateTimeException exception) {
            exchange.respondError(400, "invalid_field", String.valueOf(exception.getMessage()));
        }
    }

    private void generate(Exchange exchange, boolean chat) {
        JsonNode body = exchange.json();
        if (!body.path("stream").asBoolean()) {
            throw new IllegalArgumentException("stream must be true");
        }
        String requestId = exchange.header("X-Request-Id")
                .orElseThrow(() -> new IllegalArgumentException("X-Request-Id is missing"));
        Optional<Integer> lastEvent = exchange.header("Last-Event-ID").map(Integer::parseInt);
        if (lastEvent.isPresent() && resume(exchange, requestId, lastEvent.get())) {
            return;
        }
        if (!slots.isLoaded(body.path("model").asText())) {
            exchange.respondError(404, "adapter_not_loaded", "the adapter is not loaded");
            return;
        }
        Generation generation = new Generation(
                requestId,
                body,
                chat,
                exchange.header("X-Priority").map("premium"::equals).orElse(false),
                exchange.header("X-Request-Deadline").map(Instant::parse).orElse(Instant.MAX));
        if (lastEvent.isPresent() && lastEvent.get() != generation.firstToken - 1) {
            exchange.respondError(404, "stream_not_found", "the engine does not have the stream");
            return;
        }
        attach(exchange, generation);
        batch.submit(generation);
    }

    /** Resumes a retained stream after the given event; returns false if no retained stream has reached that event. */
    private boolean resume(Exchange exchange, String requestId, int lastEvent) {
        Optional<Generation> found = batch.findGeneration(requestId).filter(each -> each.hasEvent(lastEvent));
        if (found.isEmpty()) {
            return false;
        }
        Generation generation = found.get();
        boolean wasDisconnected = generation.outcome == RunOutcome.DISCONNECTED;
        if (wasDisconnected && !slots.isLoaded(generation.adapter)) {
            return false;
        }
        counts.resumed++;
        generation.closeConnection();
        generation.nextEventIndex = lastEvent + 1;
        attach(exchange, generation);
        if (wasDisconnected) {
            batch.requeue(generation);
        } else {
            generation.deliver();
        }
        return true;
    }

    private void attach(Exchange exchange, Generation generation) {
        generation.exchange = exchange;
        generation.disconnectedAtNanos = Long.MAX_VALUE;
        exchange.onClose(() -> {
            if (!scheduler.isShutdown()) {
                scheduler.execute(() -> onDisconnect(exchange, generation));
            }
        });
    }

    private void onDisconnect(Exchange exchange, Generation generation) {
        if (generation.exchange == exchange) {
            batch.onDisconnect(generation);
        }
    }

    private void cancel(Exchange exchange) {
        Optional<Generation> found =
                batch.findGeneration(exchange.json().path("request_id").asText());
        found.ifPresent(generation -> batch.end(generation, RunOutcome.CANCELLED));
        exchange.respond(200, Map.of("cancelled", found.isPresent()));
    }

    private void cacheEvents(Exchange exchange) {
        long from = Long.parseLong(exchange.context().query("from").value("0"));
        exchange.respond(200, cache.publishedEvents(from, System.nanoTime()));
    }

    private Map<String, Object> currentStatus() {
        Map<String, Integer> loaded = new LinkedHashMap<>();
        slots.loaded()
                .forEach(adapter -> loaded.put(
                        adapter, batch.generationsUsing(adapter, true).size()));
        return Map.of(
                "incarnation", incarnation,
                "slots", settings.slots(),
                "batch_limit", settings.batchLimit(),
                "loaded", loaded,
                "running", batch.running().size(),
                "waiting", batch.waitingCount(),
                "fence", slots.fence());
    }

    private void crash() {
        counts.crashes++;
        restarting = true;
        incarnation++;
        server.suspend(
                Duration.ofMillis(settings.restartMilliseconds()), () -> scheduler.execute(() -> restarting = false));
        batch.clear();
        slots.clear();
        cache.clear();
        status.clear();
    }
}
