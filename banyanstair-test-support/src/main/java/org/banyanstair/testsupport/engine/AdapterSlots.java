package org.banyanstair.testsupport.engine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.testsupport.endpoint.Exchange;
import org.banyanstair.testsupport.endpoint.FaultSettings;

/**
 * Manages the adapter slots of one engine incarnation and handles load and unload commands.
 *
 * <p>Not thread-safe; used only on the engine's scheduler thread.
 */
final class AdapterSlots {
    private final EngineSettings settings;
    private final FaultSettings<EngineFault> faults;
    private final ScheduledExecutorService scheduler;
    private final WeightStoreClient weights;
    private final MutableEngineCounters counts;
    private final RunLog runLog;
    private final Set<String> loaded = new LinkedHashSet<>();
    private final Map<String, List<Exchange>> loading = new LinkedHashMap<>();
    private long fence;
    private int incarnation;

    AdapterSlots(EngineResources resources) {
        this.settings = resources.settings();
        this.faults = resources.faults();
        this.scheduler = resources.scheduler();
        this.counts = resources.counts();
        this.runLog = resources.runLog();
        this.weights = new WeightStoreClient(settings.weightStore());
    }

    boolean isLoaded(String adapter) {
        return loaded.contains(adapter);
    }

    Set<String> loaded() {
        return loaded;
    }

    long fence() {
        return fence;
    }

    /** Clears all state, as a process crash does; loads that are still in progress have no effect when they end. */
    void clear() {
        incarnation++;
        loaded.clear();
        loading.clear();
        fence = 0;
    }

    void close() {
        weights.close();
    }

    void load(Exchange exchange) {
        String adapter = parseAdapter(exchange);
        if (isFenced(exchange)) {
            return;
        }
        if (loaded.contains(adapter)) {
            respondLoaded(exchange, adapter);
        } else if (loading.containsKey(adapter)) {
            loading.get(adapter).add(exchange);
        } else if (loaded.size() + loading.size() >= settings.slots()) {
            exchange.respondError(409, "no_free_slot", "all adapter slots are taken");
        } else {
            loading.put(adapter, new ArrayList<>(List.of(exchange)));
            startLoad(adapter);
        }
    }

    void unload(Exchange exchange, Batch batch) {
        String adapter = parseAdapter(exchange);
        if (isFenced(exchange)) {
            return;
        }
        if (loaded.remove(adapter)) {
            counts.unloads++;
            recordViolation("unloaded_in_use", adapter, batch.generationsUsing(adapter, true));
            recordViolation("unloaded_while_waiting", adapter, batch.generationsUsing(adapter, false));
            batch.generationsUsing(adapter, true).forEach(each -> batch.end(each, RunOutcome.UNLOADED));
        }
        respondUnlessLost(exchange, adapter, EngineFault.LOSE_UNLOAD_ANSWERS);
    }

    void acceptRole(Exchange exchange) {
        if (!"serve".equals(exchange.json().path("role").asText())) {
            throw new IllegalArgumentException("role must be serve");
        }
        if (!isFenced(exchange)) {
            exchange.respond(200, Map.of("role", "serve", "fence", fence));
        }
    }

    private static String parseAdapter(Exchange exchange) {
        JsonNode name = exchange.json().path("lora_name");
        try {
            return AdapterVersion.parse(name.asText()).engineName();
        } catch (FailureException exception) {
            throw new IllegalArgumentException("lora_name must be service/adapter@version", exception);
        }
    }

    /**
     * Rejects a command whose fencing number is lower than the highest one seen and returns whether it did so. A
     * command without a fencing number counts as number 0.
     */
    private boolean isFenced(Exchange exchange) {
        if (!settings.checksFencing() || faults.isSet(EngineFault.IGNORE_FENCING)) {
            return false;
        }
        long number = Long.parseLong(exchange.header("X-Fencing-Number").orElse("0"));
        if (number < fence) {
            counts.fenced++;
            exchange.respondError(409, "fenced", "the engine has seen fencing number " + fence);
            return true;
        }
        fence = number;
        return false;
    }

    private void startLoad(String adapter) {
        int startIncarnation = incarnation;
        boolean failureInjected = faults.consume(EngineFault.FAIL_LOADS);
        if (settings.weightStore().isEmpty() || failureInjected) {
            scheduler.schedule(
                    () -> onFetched(adapter, startIncarnation, !failureInjected),
                    settings.loadMilliseconds(),
                    TimeUnit.MILLISECONDS);
        } else {
            weights.fetch(adapter, success -> scheduler.execute(() -> onFetched(adapter, startIncarnation, success)));
        }
    }

    private void onFetched(String adapter, int startIncarnation, boolean success) {
        if (startIncarnation != incarnation) {
            return;
        }
        List<Exchange> exchanges = loading.remove(adapter);
        if (success) {
            counts.loads++;
            loaded.add(adapter);
            exchanges.forEach(each -> respondLoaded(each, adapter));
        } else {
            counts.failedLoads++;
            exchanges.forEach(each -> each.respondError(424, "load_failed", "the adapter could not be loaded"));
        }
    }

    private void respondLoaded(Exchange exchange, String adapter) {
        respondUnlessLost(exchange, adapter, EngineFault.LOSE_LOAD_ANSWERS);
    }

    private void respondUnlessLost(Exchange exchange, String adapter, EngineFault loss) {
        if (faults.consume(loss)) {
            exchange.closeConnection();
        } else {
            exchange.respond(200, Map.of("lora_name", adapter));
        }
    }

    private void recordViolation(String kind, String adapter, List<Generation> generations) {
        if (!generations.isEmpty()) {
            List<String> ids = generations.stream().map(each -> each.requestId).toList();
            runLog.add(new EngineViolation(kind, adapter, ids, Instant.now()));
        }
    }
}
