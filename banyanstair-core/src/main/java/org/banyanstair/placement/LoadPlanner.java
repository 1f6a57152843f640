package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.banyanstair.configuration.PoolDeclaration;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.EngineCommandResult;
import org.banyanstair.external.LogEntry;
import org.banyanstair.external.LogStreams;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.ownership.OwnershipRecord;
import org.banyanstair.ownership.PendingUnload;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.Notice;

/** Plans adapter loads and unloads within the pool's share of the weight store. */
final class LoadPlanner {
    /** Consecutive failed loads of an adapter after which an engine counts as unable to load it. */
    private static final int MAXIMUM_CONSECUTIVE_LOAD_FAILURES = 3;

    /** Engines that have to be unable to load an adapter before its waiting requests are refused; all of a small pool. */
    private static final int MAXIMUM_UNABLE_ENGINES = 4;

    private static final Duration LOAD_RETRY_DELAY = Duration.ofSeconds(2);

    private static final Duration ANNOUNCEMENT_TIMEOUT = Duration.ofSeconds(5);

    private final PoolState pool;
    private final TakeoverProgress takeover;
    private final LoadRateLimiter rateLimiter = new LoadRateLimiter();
    private final Map<AdapterVersion, Map<EndpointId, Integer>> consecutiveFailures = new HashMap<>();
    private final Map<EngineAdapter, Instant> retryAllowedAt = new HashMap<>();
    private final Map<Long, EngineAdapter> pendingAnnouncements = new HashMap<>();

    private record EngineAdapter(EndpointId endpoint, AdapterVersion adapter) {}

    LoadPlanner(PoolState pool, TakeoverProgress takeover) {
        this.pool = pool;
        this.takeover = takeover;
    }

    /** Starts the most urgent loads, and evicts adapters where a load needs a slot. */
    void plan(Instant now, Effects effects) {
        PoolDeclaration declaration = pool.configuration().pool(pool.id());
        long slotsBeingFreed = countSlots(SlotState.ANNOUNCED) + countSlots(SlotState.UNLOADING);
        List<PendingUnload> pendingUnloads = pool.ownership().pendingUnloads(pool.id());
        for (WaitingRequest request : requiredLoads(now)) {
            if (policy().limitsLoadRate()
                    && !rateLimiter.canStartLoad(declaration, (int) countSlots(SlotState.LOADING), now)) {
                return;
            }
            Optional<EngineState> target = selectLoadTarget(request, pendingUnloads, now);
            if (target.isPresent()) {
                startLoad(target.get(), request.adapter(), now, effects);
            } else if (slotsBeingFreed > 0) {
                slotsBeingFreed--;
            } else {
                evictForLoad(request, now, effects);
            }
        }
    }

    private PlacementPolicy policy() {
        return pool.settings().placement();
    }

    /** The most urgent waiting request for each adapter that needs to be loaded, most urgent first. */
    private Collection<WaitingRequest> requiredLoads(Instant now) {
        record LoadKey(AdapterVersion adapter, Optional<EndpointId> boundEngine) {}
        Map<LoadKey, WaitingRequest> loads = new LinkedHashMap<>();
        for (WaitingRequest waiting : pool.queue().inOrder()) {
            LoadKey key = new LoadKey(waiting.adapter(), waiting.boundEngine());
            if (!loads.containsKey(key) && needsLoad(waiting, now)) {
                loads.put(key, waiting);
            }
        }
        return loads.values();
    }

    private boolean needsLoad(WaitingRequest waiting, Instant now) {
        AdapterVersion adapter = waiting.adapter();
        boolean loading = pool.engines().values().stream()
                .filter(engine -> waiting.canUse(engine.endpoint().id()))
                .map(engine -> engine.slots().get(adapter))
                .anyMatch(slot -> slot != null && slot.state() == SlotState.LOADING);
        if (loading || pool.isUnderVerification(waiting.message().fingerprint())) {
            return false;
        }
        boolean loaded = pool.engines().values().stream()
                .anyMatch(engine -> engine.acceptsPermits()
                        && engine.isLoaded(adapter)
                        && waiting.canUse(engine.endpoint().id()));
        Duration copyDelay = Duration.ofMillis(pool.configuration().preset().copyAfterMilliseconds());
        return !loaded || !now.isBefore(waiting.arrivedAt().plus(copyDelay));
    }

    private Optional<EngineState> selectLoadTarget(
            WaitingRequest waiting, List<PendingUnload> pendingUnloads, Instant now) {
        return eligibleEngines(waiting, now)
                .filter(EngineState::hasFreeSlot)
                .filter(engine -> pendingUnloads.stream()
                        .noneMatch(unload ->
                                unload.endpoint().equals(engine.endpoint().id())
                                        && unload.adapter().equals(waiting.adapter())))
                .min(loadTargetOrder());
    }

    /** Depending on the preset, spreads adapters over the engines or packs them to fill batches. */
    private Comparator<EngineState> loadTargetOrder() {
        double spreadWeight = pool.configuration().preset().spreadWeight();
        return Comparator.comparing((EngineState engine) -> !engine.hasBatchCapacity())
                .thenComparingDouble(engine -> spreadWeight * engine.batchUtilization())
                .thenComparingDouble(engine -> spreadWeight * engine.slots().size())
                .thenComparing(engine -> engine.endpoint().id());
    }

    private Stream<EngineState> eligibleEngines(WaitingRequest waiting, Instant now) {
        return pool.engines().values().stream()
                .filter(EngineState::acceptsPermits)
                .filter(engine -> !engine.slots().containsKey(waiting.adapter()))
                .filter(engine -> waiting.canUse(engine.endpoint().id()))
                .filter(engine -> !now.isBefore(retryAllowedAt.getOrDefault(
                        new EngineAdapter(engine.endpoint().id(), waiting.adapter()), Instant.MIN)));
    }

    private void startLoad(EngineState engine, AdapterVersion adapter, Instant now, Effects effects) {
        rateLimiter.consume();
        engine.slots().put(adapter, new Slot(SlotState.LOADING, now, false));
        effects.add(new Effect.LoadAdapter(engine.endpoint(), adapter, pool.term()));
    }

    private long countSlots(SlotState state) {
        return pool.engines().values().stream()
                .flatMap(engine -> engine.slots().values().stream())
                .filter(slot -> slot.state() == state)
                .count();
    }

    /** Evicts one adapter by the eviction order of the policy, among those that no running or waiting request uses. */
    private void evictForLoad(WaitingRequest waiting, Instant now, Effects effects) {
        record Eviction(EngineState engine, EvictionOrder.Candidate candidate) {}
        eligibleEngines(waiting, now)
                .flatMap(engine -> engine.slots().keySet().stream()
                        .filter(adapter -> isEvictable(engine, adapter))
                        .map(adapter -> new Eviction(engine, evictionCandidate(engine, adapter, now))))
                .min(Comparator.comparing(
                                Eviction::candidate, policy().evictionOrder().order())
                        .thenComparing(eviction -> eviction.candidate().adapter())
                        .thenComparing(eviction -> eviction.engine().endpoint().id()))
                .ifPresent(selected ->
                        startUnload(selected.engine(), selected.candidate().adapter(), now, effects));
    }

    private EvictionOrder.Candidate evictionCandidate(EngineState engine, AdapterVersion adapter, Instant now) {
        return new EvictionOrder.Candidate(adapter, pool.popularity().score(adapter, now), engine.lastUsedAt(adapter));
    }

    private boolean isEvictable(EngineState engine, AdapterVersion adapter) {
        Slot slot = engine.slots().get(adapter);
        return slot.state() == SlotState.LOADED
                && !engine.isInUse(adapter)
                && !pool.queue().isNeeded(adapter, engine.endpoint().id())
                && (takeover.isComplete() || !slot.inherited());
    }

    private void startUnload(EngineState engine, AdapterVersion adapter, Instant now, Effects effects) {
        Slot slot = engine.slots().get(adapter);
        if (engine.endpoint().checksFencing()) {
            engine.slots().put(adapter, slot.withState(SlotState.UNLOADING, now));
            effects.add(new Effect.UnloadAdapter(engine.endpoint(), adapter, pool.term()));
            return;
        }
        // An engine that does not check fencing tokens executes the unload even after a takeover, so a new owner has
        // to learn of it from the log before it is sent.
        engine.slots().put(adapter, slot.withState(SlotState.ANNOUNCED, now));
        long appendId = pool.sequence().next();
        pendingAnnouncements.put(appendId, new EngineAdapter(engine.endpoint().id(), adapter));
        LogEntry announcement = new OwnershipRecord.UnloadAnnouncement(
                pool.id(),
                pool.term(),
                engine.endpoint().id(),
                engine.incarnation().orElseThrow(),
                adapter);
        effects.add(new Effect.AppendToLog(appendId, LogStreams.OWNERSHIP, List.of(announcement)));
    }

    /** Sends an announced unload once its record was read back from the log under the current term. */
    void unloadAnnouncementRead(OwnershipRecord.UnloadAnnouncement announcement, Instant now, Effects effects) {
        if (announcement.term() != pool.term()) {
            return;
        }
        EngineState engine = pool.engines().get(announcement.endpoint());
        Slot slot = engine == null ? null : engine.slots().get(announcement.adapter());
        boolean stillAnnounced = slot != null
                && slot.state() == SlotState.ANNOUNCED
                && engine.incarnation().orElse(-1) == announcement.incarnation();
        if (stillAnnounced) {
            engine.slots().put(announcement.adapter(), slot.withState(SlotState.UNLOADING, now));
            effects.add(new Effect.UnloadAdapter(engine.endpoint(), announcement.adapter(), pool.term()));
        } else {
            appendUnloadEnd(announcement.endpoint(), announcement.incarnation(), announcement.adapter(), effects);
        }
    }

    private void appendUnloadEnd(EndpointId endpoint, long incarnation, AdapterVersion adapter, Effects effects) {
        LogEntry end = new OwnershipRecord.UnloadEnd(pool.id(), endpoint, incarnation, adapter);
        effects.add(new Effect.AppendToLog(pool.sequence().next(), LogStreams.OWNERSHIP, List.of(end)));
    }

    void appendRejected(long appendId, Instant now) {
        EngineAdapter announced = pendingAnnouncements.remove(appendId);
        if (announced != null) {
            pool.engine(announced.endpoint())
                    .ifPresent(engine -> cancelAnnouncedUnload(engine, announced.adapter(), now));
        }
    }

    void appendEnded(long appendId) {
        pendingAnnouncements.remove(appendId);
    }

    private static void cancelAnnouncedUnload(EngineState engine, AdapterVersion adapter, Instant now) {
        engine.slots()
                .computeIfPresent(
                        adapter,
                        (key, slot) ->
                                slot.state() == SlotState.ANNOUNCED ? slot.withState(SlotState.LOADED, now) : slot);
    }

    void loadEnded(
            EngineState engine, AdapterVersion adapter, EngineCommandResult result, Instant now, Effects effects) {
        Slot slot = engine.slots().get(adapter);
        if (slot == null || slot.state() != SlotState.LOADING) {
            return;
        }
        if (result instanceof EngineCommandResult.Done) {
            consecutiveFailures.remove(adapter);
            engine.slots().put(adapter, slot.withState(SlotState.LOADED, now));
        } else if (result instanceof EngineCommandResult.Refused refused) {
            engine.slots().remove(adapter);
            loadFailed(engine, adapter, refused.failure(), now, effects);
        }
        engine.setNextStatusAt(now);
    }

    private void loadFailed(EngineState engine, AdapterVersion adapter, Failure failure, Instant now, Effects effects) {
        effects.report(new Notice.LoadFailed(engine.endpoint().id(), adapter, failure));
        retryAllowedAt.put(new EngineAdapter(engine.endpoint().id(), adapter), now.plus(LOAD_RETRY_DELAY));
        consecutiveFailures
                .computeIfAbsent(adapter, key -> new HashMap<>())
                .merge(engine.endpoint().id(), 1, Integer::sum);
    }

    void unloadEnded(
            EngineState engine, AdapterVersion adapter, EngineCommandResult result, Instant now, Effects effects) {
        Slot slot = engine.slots().get(adapter);
        if (slot == null || slot.state() != SlotState.UNLOADING) {
            return;
        }
        if (result instanceof EngineCommandResult.Unknown) {
            engine.setNextStatusAt(now);
            return;
        }
        if (result instanceof EngineCommandResult.Done) {
            engine.removeSlot(adapter, now);
        } else {
            engine.slots().put(adapter, slot.withState(SlotState.LOADED, now));
        }
        recordUnloadEnd(engine, adapter, effects);
    }

    private void recordUnloadEnd(EngineState engine, AdapterVersion adapter, Effects effects) {
        if (!engine.endpoint().checksFencing()) {
            appendUnloadEnd(engine.endpoint().id(), engine.incarnation().orElseThrow(), adapter, effects);
        }
    }

    /** Reconciles the slots with a status, whose state may be up to {@code statusLag} old when it is requested. */
    void reconcile(EngineState engine, Set<AdapterVersion> reported, Instant askedAt, Instant now, Effects effects) {
        Duration lag = pool.settings().statusLag();
        for (AdapterVersion adapter : List.copyOf(engine.slots().keySet())) {
            Slot slot = engine.slots().get(adapter);
            boolean reflectsCurrentState = !askedAt.isBefore(slot.since().plus(lag));
            if (reported.contains(adapter)) {
                adapterReported(engine, adapter, slot, reflectsCurrentState, now, effects);
            } else if (reflectsCurrentState) {
                adapterNotReported(engine, adapter, slot, now, effects);
            }
        }
        reported.stream()
                .filter(adapter -> !engine.slots().containsKey(adapter))
                .filter(adapter -> engine.unloadedAt(adapter)
                        .filter(at -> askedAt.isBefore(at.plus(lag)))
                        .isEmpty())
                .forEach(adapter -> {
                    engine.slots().put(adapter, new Slot(SlotState.LOADED, now, true));
                    engine.addUnconfirmedEnd(adapter, now);
                });
    }

    /**
     * Marks the inherited adapters as possibly in use. Attempts that ended before their host sent its inventory were
     * released to the previous owner only.
     */
    void takeoverCompleted(Instant now) {
        for (EngineState engine : pool.engines().values()) {
            engine.slots().entrySet().stream()
                    .filter(entry -> entry.getValue().inherited())
                    .forEach(entry -> engine.addUnconfirmedEnd(entry.getKey(), now));
            // An earlier status cannot confirm that these attempts have ended.
            engine.setNextStatusAt(now.plus(pool.settings().statusLag()));
        }
    }

    private void adapterReported(
            EngineState engine,
            AdapterVersion adapter,
            Slot slot,
            boolean reflectsCurrentState,
            Instant now,
            Effects effects) {
        if (slot.state() == SlotState.LOADING) {
            engine.slots().put(adapter, slot.withState(SlotState.LOADED, now));
        } else if (slot.state() == SlotState.UNLOADING && reflectsCurrentState) {
            engine.slots().put(adapter, slot.withState(SlotState.UNLOADING, now));
            effects.add(new Effect.UnloadAdapter(engine.endpoint(), adapter, pool.term()));
        }
    }

    private void adapterNotReported(
            EngineState engine, AdapterVersion adapter, Slot slot, Instant now, Effects effects) {
        engine.removeSlot(adapter, now);
        if (slot.state() == SlotState.UNLOADING) {
            recordUnloadEnd(engine, adapter, effects);
        } else if (slot.state() == SlotState.LOADING) {
            loadFailed(
                    engine,
                    adapter,
                    new Failure.AdapterNotLoaded(engine.endpoint().id(), adapter),
                    now,
                    effects);
        }
    }

    /** Cancels announced unloads whose record did not appear in the log in time, and removes expired retry delays. */
    void tick(Instant now) {
        for (EngineState engine : pool.engines().values()) {
            Set<AdapterVersion> overdue = engine.slots().entrySet().stream()
                    .filter(entry -> entry.getValue().state() == SlotState.ANNOUNCED)
                    .filter(entry -> !now.isBefore(entry.getValue().since().plus(ANNOUNCEMENT_TIMEOUT)))
                    .map(Map.Entry::getKey)
                    .collect(Collectors.toSet());
            overdue.forEach(adapter -> cancelAnnouncedUnload(engine, adapter, now));
        }
        retryAllowedAt.values().removeIf(at -> !now.isBefore(at));
    }

    /** Whether every engine that accepts requests, or a number of them in a large pool, is unable to load the adapter. */
    boolean hasReachedLoadFailureLimit(AdapterVersion adapter) {
        Map<EndpointId, Integer> failures = consecutiveFailures.getOrDefault(adapter, Map.of());
        if (failures.isEmpty()) {
            return false;
        }
        List<EndpointId> accepting = pool.engines().values().stream()
                .filter(EngineState::acceptsPermits)
                .map(engine -> engine.endpoint().id())
                .toList();
        long unable = accepting.stream()
                .filter(id -> failures.getOrDefault(id, 0) >= MAXIMUM_CONSECUTIVE_LOAD_FAILURES)
                .count();
        return unable > 0 && unable >= Math.min(MAXIMUM_UNABLE_ENGINES, accepting.size());
    }

    void resetFailures(AdapterVersion adapter) {
        consecutiveFailures.remove(adapter);
    }

    /** Earliest instant at which the load rate allows a load of the adapter after all more urgent loads. */
    Instant earliestLoadTime(AdapterVersion adapter, Instant deadline, Instant now) {
        long loadsBefore = pool.queue().inOrder().stream()
                .filter(waiting -> waiting.message().deadline().isBefore(deadline))
                .map(WaitingRequest::adapter)
                .distinct()
                .filter(other -> !other.equals(adapter))
                .filter(other -> pool.engines().values().stream()
                        .noneMatch(engine -> engine.slots().containsKey(other)))
                .count();
        double seconds = loadsBefore / pool.configuration().pool(pool.id()).loadsPerSecond();
        return now.plusMillis((long) (seconds * 1000));
    }
}
