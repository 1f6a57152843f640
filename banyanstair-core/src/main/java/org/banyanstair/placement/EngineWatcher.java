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

/** Keeps the belief about each engine up to date and recognizes crashes and restarts. */
final class EngineWatcher {
    private final Pool pool;
    private final LoadPlanner loads;

    EngineWatcher(Pool pool, LoadPlanner loads) {
        this.pool = pool;
        this.loads = loads;
    }

    void tick(Instant now, Effects effects) {
        followHostList();
        for (EngineState engine : pool.engines().values()) {
            if (engine.isListed() && !now.isBefore(engine.nextStatusAt())) {
                readStatus(engine, now, effects);
                if (!engine.fenceRaised()) {
                    effects.add(new Effect.RaiseFence(engine.endpoint(), pool.term()));
                }
            }
            markOrphans(engine, now);
        }
    }

    private void followHostList() {
        List<Endpoint> listed = pool.membership().listing().endpointsOf(pool.id()).stream()
                .filter(endpoint -> endpoint.kind() == EndpointKind.ENGINE)
                .toList();
        pool.engines().values().forEach(EngineState::unlist);
        listed.forEach(endpoint -> pool.engines()
                .computeIfAbsent(endpoint.id(), id -> new EngineState(endpoint))
                .list(endpoint));
        pool.engines()
                .values()
                .removeIf(engine -> !engine.isListed() && engine.permits().isEmpty());
    }

    private void readStatus(EngineState engine, Instant now, Effects effects) {
        engine.nextStatusAt(now.plus(pool.settings().statusInterval()));
        effects.add(new Effect.ReadEngineStatus(engine.endpoint()));
    }

    /** A permit whose holder has ended stays in use until the engine shows that its request does not run. */
    private void markOrphans(EngineState engine, Instant now) {
        engine.permits().values().stream()
                .filter(permit -> pool.membership().isTerminated(permit.holder()))
                .forEach(permit -> engine.orphans().putIfAbsent(permit.request(), now));
    }

    void statusRead(EndpointId endpoint, Instant askedAt, EngineStatus status, Instant now, Effects effects) {
        EngineState engine = pool.engines().get(endpoint);
        if (engine == null) {
            return;
        }
        engine.statusSucceeded();
        if (engine.incarnation().isEmpty()) {
            engine.restarted(status.incarnation(), now);
            pool.permits().values().stream()
                    .filter(permit -> permit.endpoint().equals(endpoint))
                    .forEach(permit -> engine.permits().put(permit.request(), permit));
            raiseFence(engine, effects);
        } else if (engine.incarnation().getAsLong() != status.incarnation()) {
            restarted(engine, status.incarnation(), now, effects);
        } else if (engine.isVerifiedBy(askedAt)) {
            engine.broken().clear();
            engine.endVerification();
        }
        loads.reconcile(engine, status.loaded().keySet(), askedAt, now, effects);
        endOrphans(engine, status, askedAt);
        engine.confirmEnds(status.loaded(), askedAt, pool.settings().statusLag());
    }

    /** Permits stay in use until their holders give them back, because a grant may reach its holder late. */
    private void restarted(EngineState engine, long incarnation, Instant now, Effects effects) {
        effects.report(new Notice.EngineRestarted(engine.endpoint().id(), incarnation));
        suspect(engine, effects);
        engine.restarted(incarnation, now);
        raiseFence(engine, effects);
    }

    private void raiseFence(EngineState engine, Effects effects) {
        if (!engine.fenceRaised()) {
            effects.add(new Effect.RaiseFence(engine.endpoint(), pool.term()));
        }
    }

    private void suspect(EngineState engine, Effects effects) {
        Set<Fingerprint> running = engine.runningFingerprints();
        if (running.isEmpty()) {
            return;
        }
        SuspectRecord.Crash crash = new SuspectRecord.Crash(
                engine.endpoint().id(), engine.incarnation().orElseThrow(), List.copyOf(running));
        pool.suspects().apply(crash);
        running.forEach(fingerprint -> effects.report(new Notice.CrashSuspected(
                fingerprint, engine.endpoint().id(), pool.suspects().crashCount(fingerprint))));
        append(crash, effects);
    }

    private void append(SuspectRecord record, Effects effects) {
        effects.add(new Effect.AppendToLog(pool.sequence().next(), LogStreams.SUSPECTS, List.<LogEntry>of(record)));
    }

    private void endOrphans(EngineState engine, EngineStatus status, Instant askedAt) {
        List<Permit> settled = engine.orphans().entrySet().stream()
                .filter(orphan ->
                        !askedAt.isBefore(orphan.getValue().plus(pool.settings().statusLag())))
                .map(orphan -> engine.permits().get(orphan.getKey()))
                .filter(permit -> permit != null
                        && status.loaded().getOrDefault(permit.adapter(), 0) <= liveOn(engine, permit.adapter()))
                .toList();
        settled.forEach(permit -> pool.removePermit(permit.request()));
    }

    private static long liveOn(EngineState engine, AdapterVersion adapter) {
        return engine.permits().values().stream()
                .filter(permit -> permit.adapter().equals(adapter))
                .filter(permit -> !engine.orphans().containsKey(permit.request()))
                .count();
    }

    /** An engine that cannot be reached right after it broke off requests is taken for crashed. */
    void statusFailed(EndpointId endpoint, Instant now, Effects effects) {
        EngineState engine = pool.engines().get(endpoint);
        if (engine == null) {
            return;
        }
        engine.statusFailed();
        if (engine.verifying() && engine.incarnation().isPresent() && !engine.isReachable()) {
            suspect(engine, effects);
            engine.broken().clear();
            engine.endVerification();
        } else if (engine.verifying()) {
            readStatus(engine, now, effects);
        }
    }

    void completed(Permit permit, Effects effects) {
        if (pool.suspects().crashCount(permit.fingerprint()) > 0) {
            SuspectRecord.Cleared cleared = new SuspectRecord.Cleared(permit.fingerprint());
            pool.suspects().apply(cleared);
            append(cleared, effects);
        }
    }

    void broken(Permit permit, Instant now, Effects effects) {
        pool.engine(permit.endpoint())
                .filter(engine -> !engine.isInterrupted(permit))
                .ifPresent(engine -> {
                    engine.broken().add(permit);
                    engine.verifySince(now);
                    readStatus(engine, now, effects);
                });
    }

    void notStarted(Permit permit, Failure failure, Instant now, Effects effects) {
        pool.engine(permit.endpoint()).ifPresent(engine -> {
            if (failure instanceof Failure.AdapterNotLoaded) {
                engine.slots()
                        .computeIfPresent(
                                permit.adapter(), (adapter, slot) -> slot.state() == SlotState.LOADED ? null : slot);
            }
            readStatus(engine, now, effects);
        });
    }
}
