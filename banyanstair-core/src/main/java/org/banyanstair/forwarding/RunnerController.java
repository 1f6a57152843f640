package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.ToLongFunction;

import org.banyanstair.model.AdapterName;
import org.banyanstair.peer.HeldAdapter;
import org.banyanstair.peer.NewsOrder;
import org.banyanstair.peer.PeerMessage;

/**
 * Decides which adapters a runner loads and unloads, on the host that holds its lease.
 *
 * <p>Built for many rarely requested adapters: pending loads are served in order of their due time, and the least
 * recently requested adapter is evicted for them. An adapter that is in use or has a pending load is never unloaded. At
 * most one command is in flight. Each carries the number of commands before it, so the runner refuses a command that
 * arrives late.
 */
final class RunnerController {
    /** Time after which an unanswered command counts as lost. */
    private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(700);

    /** Pause between two queries of the runner's state. */
    private static final Duration INSPECTION_PAUSE = Duration.ofMillis(400);

    /** Pause before the state is queried again after a query without an answer. */
    private static final Duration FAILED_INSPECTION_PAUSE = Duration.ofMillis(100);

    /** Staleness of the state that a runner reports; the platform protocol allows a few hundred milliseconds. */
    private static final Duration REPORT_LAG = Duration.ofMillis(250);

    /** Time for which an adapter counts as unusable while its unload waits for a last request. */
    private static final Duration UNLOAD_TIMEOUT = Duration.ofSeconds(10);

    /** Number of tracked adapters above which negligible demand is dropped. */
    private static final int MAXIMUM_DEMAND_ENTRIES = 1024;

    /** Demand below which an adapter is dropped: that of one request about seven half-lives ago. */
    private static final double NEGLIGIBLE_DEMAND = 0.01;

    private static final double DEMAND_HALF_LIFE_MILLISECONDS = 6000;

    private final EndpointState runner;
    private final int slots;
    private final Map<AdapterName, AdapterLoadRequest> pendingLoads = new HashMap<>();
    private final Map<AdapterName, Demand> demand = new HashMap<>();
    private OptionalLong commandSequence = OptionalLong.empty();
    private Optional<AdapterCommand> pendingCommand = Optional.empty();
    private Instant commandTimeoutAt = Instant.MAX;
    private Instant nextInspectionAt = Instant.MIN;
    private boolean inspecting;
    private boolean stateUncertain;
    private boolean changed = true;

    private record Demand(double value, Instant at) {
        double at(Instant now) {
            return value * Math.pow(0.5, Duration.between(at, now).toMillis() / DEMAND_HALF_LIFE_MILLISECONDS);
        }
    }

    RunnerController(EndpointState runner, int slots) {
        this.runner = runner;
        this.slots = slots;
    }

    /** Adds a load request, or merges it with a pending one for the same adapter. */
    void requestLoad(AdapterLoadRequest load) {
        changed |= !pendingLoads.containsKey(load.adapter());
        pendingLoads.merge(load.adapter(), load, AdapterLoadRequest::merge);
        runner.setPendingLoads(pendingLoads.keySet());
    }

    /** Adds a request to the demand for an adapter. */
    void recordUse(AdapterName adapter, Instant now) {
        if (demand.size() >= MAXIMUM_DEMAND_ENTRIES) {
            demand.values().removeIf(known -> known.at(now) < NEGLIGIBLE_DEMAND);
        }
        demand.merge(adapter, new Demand(1, now), (known, one) -> new Demand(known.at(now) + 1, now));
    }

    /** Discards what is known of the runner's state after a restart of its process. */
    void reset() {
        commandSequence = OptionalLong.empty();
        pendingCommand = Optional.empty();
        inspecting = false;
        stateUncertain = false;
        nextInspectionAt = Instant.MIN;
        changed = true;
    }

    void inspected(Optional<RunnerState> answer, Instant now) {
        inspecting = false;
        nextInspectionAt = now.plus(answer.isEmpty() ? FAILED_INSPECTION_PAUSE : INSPECTION_PAUSE);
        if (answer.isEmpty()) {
            return;
        }
        stateUncertain = false;
        RunnerState state = answer.get();
        commandSequence = state.busy() ? OptionalLong.empty() : OptionalLong.of(state.commandSequence());
        runner.setBaseModels(state.baseModels());
        Map<AdapterName, AdapterSlot> known = runner.adapters();
        Map<AdapterName, AdapterSlot> reported = new HashMap<>();
        state.loading().forEach(loading -> {
            AdapterSlot before = known.get(loading.name());
            Instant readyAt = before != null && before.version() == loading.version() && !before.isReady(now)
                    ? before.readyAt()
                    : now.plus(RunnerTimings.ADAPTER_LOAD);
            reported.put(loading.name(), new AdapterSlot(loading.version(), readyAt));
        });
        state.loaded()
                .forEach(loaded -> reported.putIfAbsent(loaded.name(), new AdapterSlot(loaded.version(), Instant.MIN)));
        runner.replaceAdapters(reported);
        changed = true;
    }

    /** Applies the answer to the command in flight; answers to other commands are ignored. */
    void commandAnswered(
            AdapterCommand command,
            CommandResult result,
            ToLongFunction<AdapterName> newestVersion,
            double weightStoreUtilization,
            Instant now) {
        if (pendingCommand.isEmpty() || !pendingCommand.get().equals(command)) {
            return;
        }
        pendingCommand = Optional.empty();
        Optional<AdapterName> adapter = command.adapterName();
        if (adapter.isEmpty()) {
            // The runner is busy for seconds now, or holds the model already; only its state tells which.
            commandSequence = OptionalLong.empty();
            nextInspectionAt = now.plus(INSPECTION_PAUSE);
        } else if (result == CommandResult.ACCEPTED && command.load()) {
            commandSequence = OptionalLong.of(command.expectedSequence() + 1);
            long version = command.version().orElseGet(() -> newestVersion.applyAsLong(adapter.get()));
            Duration time = runner.loadTime(adapter.get(), version);
            Instant readyAt = now.plusMillis((long) (time.toMillis() * Math.max(1, weightStoreUtilization)));
            runner.adapters().put(adapter.get(), new AdapterSlot(version, readyAt));
            pendingLoads.remove(adapter.get());
            changed = true;
        } else if (result == CommandResult.DONE && !command.load()) {
            commandSequence = OptionalLong.of(command.expectedSequence() + 1);
            runner.removeAdapter(adapter.get());
            changed = true;
        } else {
            if (result == CommandResult.ACCEPTED) {
                // A request arrived in the meantime and delays the unload; the slot stays occupied until the runner
                // reports otherwise.
                runner.adapters().put(adapter.get(), AdapterSlot.unloading(now.plus(UNLOAD_TIMEOUT)));
                changed = true;
            }
            commandSequence = OptionalLong.empty();
            nextInspectionAt = now.plus(REPORT_LAG);
        }
    }

    /**
     * Handles a request that was rejected because the runner lacks an adapter which it should hold. The slot stays
     * occupied until the runner reports otherwise, since the load may only be slow.
     */
    void adapterMissing(AdapterName adapter, Instant now) {
        if (runner.markLoadLate(adapter, now)) {
            stateUncertain = true;
            nextInspectionAt = now;
            changed = true;
        }
    }

    int loadingCount(Instant now) {
        int count = 0;
        for (AdapterSlot slot : runner.adapters().values()) {
            count += slot.isLoading(now) ? 1 : 0;
        }
        return count;
    }

    /** Returns whether the command sequence of the runner is known, so that it can be commanded. */
    boolean isReady() {
        return commandSequence.isPresent() || pendingCommand.isPresent();
    }

    /**
     * Returns the next query or command for the runner, if any.
     *
     * @param mayLoad whether the limit of loads in transit over all runners allows another load
     */
    List<ForwardingEffect> reconcile(
            EngineCapacity capacity,
            long fencingToken,
            ToLongFunction<AdapterName> newestVersion,
            boolean mayLoad,
            Instant now) {
        if (pendingCommand.isPresent() && !now.isBefore(commandTimeoutAt)) {
            pendingCommand = Optional.empty();
            commandSequence = OptionalLong.empty();
        }
        if (pendingCommand.isPresent()) {
            return List.of();
        }
        if (runner.requestedPause().isInForce(now)) {
            return List.of();
        }
        if (commandSequence.isEmpty() || stateUncertain) {
            if (inspecting || now.isBefore(nextInspectionAt)) {
                return List.of();
            }
            inspecting = true;
            return List.of(
                    new ForwardingEffect.Inspect(runner.id(), runner.listing().address()));
        }
        Optional<BaseModel> model = missingModel(capacity);
        if (model.isPresent()) {
            return loadModel(model.get(), fencingToken, now);
        }
        pendingLoads.values().removeIf(load -> now.isAfter(load.expiresAt()));
        pendingLoads.keySet().removeIf(adapter -> isCurrent(adapter, newestVersion));
        runner.setPendingLoads(pendingLoads.keySet());
        Optional<AdapterName> next =
                pendingLoads.values().stream().min(urgencyOrder(now)).map(AdapterLoadRequest::adapter);
        if (next.isEmpty() || !mayLoad || loadingCount(now) >= RunnerTimings.LOADS_PER_RUNNER) {
            return List.of();
        }
        if (runner.adapters().containsKey(next.get()) || runner.adapters().size() < slots) {
            return command(true, next.get(), newestVersion, fencingToken, now);
        }
        return evictionCandidate(now)
                .map(adapter -> command(false, adapter, newestVersion, fencingToken, now))
                .orElse(List.of());
    }

    /** Orders loads that can still be on time first, by due time, and late ones after them. */
    static Comparator<AdapterLoadRequest> urgencyOrder(Instant now) {
        return Comparator.comparing((AdapterLoadRequest load) -> !load.canBeOnTime(now))
                .thenComparing(AdapterLoadRequest::dueAt);
    }

    private boolean isCurrent(AdapterName adapter, ToLongFunction<AdapterName> newestVersion) {
        AdapterSlot slot = runner.adapters().get(adapter);
        return slot != null && slot.version() >= newestVersion.applyAsLong(adapter);
    }

    /** Returns the base model to load; a restarted runner holds none. */
    private Optional<BaseModel> missingModel(EngineCapacity capacity) {
        if (!runner.baseModels().isEmpty()) {
            return Optional.empty();
        }
        return capacity.baseModels().stream()
                .filter(model -> model.megabytes() <= capacity.weightMegabytes())
                .findFirst();
    }

    private List<ForwardingEffect> loadModel(BaseModel model, long fencingToken, Instant now) {
        AdapterCommand command = new AdapterCommand(
                runner.id(),
                runner.listing().address(),
                true,
                model.name(),
                Optional.empty(),
                OptionalLong.empty(),
                commandSequence.getAsLong(),
                fencingToken);
        pendingCommand = Optional.of(command);
        commandTimeoutAt = now.plus(COMMAND_TIMEOUT);
        return List.of(new ForwardingEffect.Command(command));
    }

    private List<ForwardingEffect> command(
            boolean load,
            AdapterName adapter,
            ToLongFunction<AdapterName> newestVersion,
            long fencingToken,
            Instant now) {
        long version = newestVersion.applyAsLong(adapter);
        AdapterCommand command = new AdapterCommand(
                runner.id(),
                runner.listing().address(),
                load,
                adapter.baseModel(),
                Optional.of(adapter.adapter()),
                load && version > 0 ? OptionalLong.of(version) : OptionalLong.empty(),
                commandSequence.getAsLong(),
                fencingToken);
        pendingCommand = Optional.of(command);
        commandTimeoutAt = now.plus(COMMAND_TIMEOUT);
        return List.of(new ForwardingEffect.Command(command));
    }

    /** Returns the least recently requested adapter that is neither in use nor has a pending load. */
    private Optional<AdapterName> evictionCandidate(Instant now) {
        return runner.adapters().entrySet().stream()
                .filter(entry -> entry.getValue().isPastFirstUse(now)
                        && !pendingLoads.containsKey(entry.getKey())
                        && !runner.isUsed(entry.getKey()))
                .map(Map.Entry::getKey)
                .min(Comparator.comparingDouble(adapter ->
                        demand.containsKey(adapter) ? demand.get(adapter).at(now) : 0));
    }

    /** Returns whether the state that is published to peers has changed since the last call. */
    boolean takeChanged() {
        boolean result = changed;
        changed = false;
        return result;
    }

    PeerMessage stateMessage(NewsOrder order, Instant now) {
        List<HeldAdapter> adapters = new ArrayList<>();
        runner.adapters()
                .forEach((name, slot) -> adapters.add(new HeldAdapter(
                        name,
                        slot.version(),
                        slot.isReady(now)
                                ? 0
                                : Duration.between(now, slot.readyAt()).toMillis())));
        return new PeerMessage.HeldRunner(
                runner.id(),
                runner.listing().started(),
                order,
                runner.baseModels(),
                adapters,
                List.copyOf(pendingLoads.keySet()));
    }
}
