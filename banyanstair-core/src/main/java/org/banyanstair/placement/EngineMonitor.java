package org.banyanstair.placement;

import java.time.Instant;
import java.util.List;
import java.util.Set;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.EngineStatus;
import org.banyanstair.external.LogEntry;
import org.banyanstair.external.LogStreams;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EndpointKind;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.Notice;

/** Updates the {@link EngineState} of each engine and detects crashes and restarts. */
final class EngineMonitor {
    private final PoolState pool;
    private final LoadPlanner loads;

    EngineMonitor(PoolState pool, LoadPlanner loads) {
        this.pool = pool;
        this.loads = loads;
    }

    void tick(Instant now, Effects effects) {
        updateEngines();
        for (EngineState engine : pool.engines().values()) {
            if (engine.isListed() && !now.isBefore(engine.nextStatusAt())) {
                requestStatus(engine, now, effects);
                if (!engine.isFenceRaised()) {
                    effects.add(new Effect.RaiseFence(engine.endpoint(), pool.term()));
                }
            }
            markOrphans(engine, now);
        }
    }

    private void updateEngines() {
        List<Endpoint> listed = pool.membership().listing().endpointsOf(pool.id()).stream()
                .filter(endpoint -> endpoint.kind() == EndpointKind.ENGINE)
                .toList();
        pool.engines().values().forEach(EngineState::markUnlisted);
        listed.forEach(endpoint -> pool.engines()
                .computeIfAbsent(endpoint.id(), id -> new EngineState(endpoint))
                .updateEntry(endpoint));
        pool.engines()
                .values()
                .removeIf(engine -> !engine.isListed() && engine.permits().isEmpty());
    }

    private void requestStatus(EngineState engine, Instant now, Effects effects) {
        engine.setNextStatusAt(now.plus(pool.settings().statusInterval()));
        effects.add(new Effect.ReadEngineStatus(engine.endpoint()));
    }

    /** A permit whose holder has terminated stays in use until the engine reports that the request no longer runs. */
    private void markOrphans(EngineState engine, Instant now) {
        engine.permits().values().stream()
                .filter(permit -> pool.membership().isTerminated(permit.holder()))
                .forEach(permit -> engine.orphanedSince().putIfAbsent(permit.request(), now));
    }

    void statusRead(EndpointId endpoint, Instant askedAt, EngineStatus status, Instant now, Effects effects) {
        EngineState engine = pool.engines().get(endpoint);
        if (engine == null) {
            return;
        }
        engine.recordStatusSuccess();
        if (engine.incarnation().isEmpty()) {
            engine.reset(status.incarnation(), now);
            pool.permits().values().stream()
                    .filter(permit -> permit.endpoint().equals(endpoint))
                    .forEach(permit -> engine.permits().put(permit.request(), permit));
            raiseFence(engine, effects);
        } else if (engine.incarnation().getAsLong() != status.incarnation()) {
            engineRestarted(engine, status.incarnation(), now, effects);
        } else if (engine.isVerifiedBy(askedAt)) {
            engine.brokenPermits().clear();
            engine.endVerification();
        }
        loads.reconcile(engine, status.loaded().keySet(), askedAt, now, effects);
        releaseOrphans(engine, status, askedAt);
        engine.clearConfirmedEnds(status.loaded(), askedAt, pool.settings().statusLag());
    }

    /** Keeps the permits until their holders release them, because a delayed grant may still be used. */
    private void engineRestarted(EngineState engine, long incarnation, Instant now, Effects effects) {
        effects.report(new Notice.EngineRestarted(engine.endpoint().id(), incarnation));
        recordCrash(engine, now, effects);
        engine.reset(incarnation, now);
        raiseFence(engine, effects);
    }

    private void raiseFence(EngineState engine, Effects effects) {
        if (!engine.isFenceRaised()) {
            effects.add(new Effect.RaiseFence(engine.endpoint(), pool.term()));
        }
    }

    private void recordCrash(EngineState engine, Instant now, Effects effects) {
        Set<Fingerprint> running = engine.runningFingerprints();
        if (running.isEmpty()) {
            return;
        }
        SuspectRecord.Crash crash = new SuspectRecord.Crash(
                engine.endpoint().id(),
                engine.incarnation().orElseThrow(),
                List.copyOf(running),
                engine.promptsWithoutOutput());
        pool.suspects().apply(crash, now);
        running.forEach(fingerprint -> effects.report(new Notice.CrashSuspected(
                fingerprint, engine.endpoint().id(), pool.suspects().crashCount(fingerprint))));
        appendRecord(crash, effects);
    }

    private void appendRecord(SuspectRecord record, Effects effects) {
        effects.add(new Effect.AppendToLog(pool.sequence().next(), LogStreams.SUSPECTS, List.<LogEntry>of(record)));
    }

    private void releaseOrphans(EngineState engine, EngineStatus status, Instant askedAt) {
        List<Permit> endedPermits = engine.orphanedSince().entrySet().stream()
                .filter(orphan ->
                        !askedAt.isBefore(orphan.getValue().plus(pool.settings().statusLag())))
                .map(orphan -> engine.permits().get(orphan.getKey()))
                .filter(permit -> permit != null
                        && status.loaded().getOrDefault(permit.adapter(), 0)
                                <= countPermitsOfLiveHolders(engine, permit.adapter()))
                .toList();
        endedPermits.forEach(permit -> pool.removePermit(permit.request()));
    }

    private static long countPermitsOfLiveHolders(EngineState engine, AdapterVersion adapter) {
        return engine.permits().values().stream()
                .filter(permit -> permit.adapter().equals(adapter))
                .filter(permit -> !engine.orphanedSince().containsKey(permit.request()))
                .count();
    }

    /** Treats an engine that is unreachable right after a broken attempt as crashed. */
    void statusReadFailed(EndpointId endpoint, Instant now, Effects effects) {
        EngineState engine = pool.engines().get(endpoint);
        if (engine == null) {
            return;
        }
        engine.recordStatusFailure();
        if (engine.isVerifying() && engine.incarnation().isPresent() && !engine.isReachable()) {
            recordCrash(engine, now, effects);
            engine.brokenPermits().clear();
            engine.endVerification();
        } else if (engine.isVerifying()) {
            requestStatus(engine, now, effects);
        }
    }

    /** Refuses requests with the prompt part that has crashed engines, if there is one. */
    void attributeCrashes(Instant now, Effects effects) {
        pool.suspects().attribute(now).ifPresent(refusal -> {
            effects.report(new Notice.PartRefused(refusal.part(), refusal.crashes()));
            appendRecord(new SuspectRecord.PartRefused(refusal.part(), refusal.crashes()), effects);
        });
    }

    void attemptCompleted(Permit permit, Instant now, Effects effects) {
        pool.suspects()
                .completed(permit.parts(), now)
                .forEach(part -> appendRecord(new SuspectRecord.PartCleared(part), effects));
        if (pool.suspects().crashCount(permit.fingerprint()) > 0) {
            SuspectRecord.Cleared cleared = new SuspectRecord.Cleared(permit.fingerprint());
            pool.suspects().apply(cleared, now);
            appendRecord(cleared, effects);
        }
    }

    /** Handles an attempt that broke after some output, or before any. */
    void attemptBroken(Permit permit, boolean hadOutput, Instant now, Effects effects) {
        pool.engine(permit.endpoint())
                .filter(engine -> !engine.predatesRestart(permit))
                .ifPresent(engine -> {
                    if (hadOutput) {
                        engine.requestsWithOutput().add(permit.request());
                    }
                    engine.brokenPermits().add(permit);
                    engine.beginVerification(now);
                    requestStatus(engine, now, effects);
                });
    }

    void attemptNotStarted(Permit permit, Failure failure, Instant now, Effects effects) {
        pool.engine(permit.endpoint()).ifPresent(engine -> {
            if (failure instanceof Failure.AdapterNotLoaded) {
                engine.slots()
                        .computeIfPresent(
                                permit.adapter(), (adapter, slot) -> slot.state() == SlotState.LOADED ? null : slot);
            }
            requestStatus(engine, now, effects);
        });
    }
}
