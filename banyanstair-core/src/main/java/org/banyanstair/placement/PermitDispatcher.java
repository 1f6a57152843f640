package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.membership.Endpoint;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.ownership.PendingUnload;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effects;

/** Grants permits to waiting requests. */
final class PermitDispatcher {
    private final PoolState pool;

    PermitDispatcher(PoolState pool) {
        this.pool = pool;
    }

    /** Grants as many permits as the engines have capacity for, most urgent requests first. */
    void grantPermits(Instant now, Effects effects) {
        removeStaleReservations();
        Set<AdapterVersion> adaptersWithoutEngine = new HashSet<>();
        List<PendingUnload> pendingUnloads = pool.ownership().pendingUnloads(pool.id());
        for (WaitingRequest waiting : pool.queue().inOrder()) {
            boolean unrestricted =
                    waiting.message().tried().isEmpty() && waiting.boundEngine().isEmpty() && crashCount(waiting) == 0;
            if (unrestricted && adaptersWithoutEngine.contains(waiting.adapter())) {
                continue;
            }
            Optional<EngineState> engine = selectEngine(waiting, pendingUnloads);
            if (engine.isPresent()) {
                grant(waiting, engine.get(), now, effects);
            } else if (unrestricted) {
                adaptersWithoutEngine.add(waiting.adapter());
            }
        }
    }

    private int crashCount(WaitingRequest waiting) {
        return pool.suspects().crashCount(waiting.message().fingerprint());
    }

    private Optional<EngineState> selectEngine(WaitingRequest waiting, List<PendingUnload> pendingUnloads) {
        Fingerprint fingerprint = waiting.message().fingerprint();
        if (pool.isUnderVerification(fingerprint)) {
            return Optional.empty();
        }
        List<EngineState> enginesWithAdapter = pool.engines().values().stream()
                .filter(engine -> engine.acceptsPermits() && engine.isLoaded(waiting.adapter()))
                .filter(engine -> waiting.canUse(engine.endpoint().id()))
                .filter(engine -> !isUnloadPending(engine, waiting.adapter(), pendingUnloads))
                .toList();
        Optional<EngineState> selected = enginesWithAdapter.stream()
                .filter(engine -> engine.hasBatchCapacity() && satisfiesIsolation(engine, fingerprint))
                .min(engineOrder(waiting));
        if (selected.isEmpty() && crashCount(waiting) >= CrashSuspects.CRASHES_BEFORE_ISOLATION) {
            reserve(enginesWithAdapter, fingerprint);
        }
        return selected;
    }

    private boolean isUnloadPending(EngineState engine, AdapterVersion adapter, List<PendingUnload> pendingUnloads) {
        return pendingUnloads.stream()
                .anyMatch(unload -> unload.endpoint().equals(engine.endpoint().id())
                        && unload.adapter().equals(adapter)
                        && engine.incarnation().isPresent()
                        && unload.incarnation() == engine.incarnation().getAsLong());
    }

    /** Two suspects never share an engine, and a request with two or more crashes runs alone. */
    private boolean satisfiesIsolation(EngineState engine, Fingerprint fingerprint) {
        int crashCount = pool.suspects().crashCount(fingerprint);
        boolean reservedForOther = engine.reservation()
                .filter(reserved -> !reserved.equals(fingerprint))
                .isPresent();
        if (reservedForOther) {
            return false;
        }
        int highestCrashCount = engine.possiblyRunningPermits()
                .mapToInt(permit -> pool.suspects().crashCount(permit.fingerprint()))
                .max()
                .orElse(0);
        if (highestCrashCount >= CrashSuspects.CRASHES_BEFORE_ISOLATION) {
            return false;
        }
        if (crashCount >= CrashSuspects.CRASHES_BEFORE_ISOLATION) {
            return engine.possiblyRunningPermits().findAny().isEmpty();
        }
        return crashCount == 0 || highestCrashCount == 0;
    }

    private void reserve(List<EngineState> engines, Fingerprint fingerprint) {
        boolean alreadyReserved = pool.engines().values().stream()
                .anyMatch(engine ->
                        engine.reservation().filter(fingerprint::equals).isPresent());
        if (!alreadyReserved) {
            engines.stream()
                    .filter(engine -> engine.reservation().isEmpty())
                    .min(Comparator.comparingInt(engine -> engine.permits().size()))
                    .ifPresent(engine -> engine.setReservation(Optional.of(fingerprint)));
        }
    }

    private void removeStaleReservations() {
        Set<Fingerprint> waitingFingerprints = new HashSet<>();
        pool.engines().values().stream()
                .filter(engine -> engine.reservation().isPresent())
                .forEach(engine -> {
                    if (waitingFingerprints.isEmpty()) {
                        pool.queue()
                                .inOrder()
                                .forEach(each ->
                                        waitingFingerprints.add(each.message().fingerprint()));
                    }
                    engine.setReservation(engine.reservation().filter(waitingFingerprints::contains));
                });
    }

    /** Prefers an engine with a cached prefix, then the emptiest or the fullest engine, depending on the preset. */
    private Comparator<EngineState> engineOrder(WaitingRequest waiting) {
        double spreadWeight = pool.configuration().preset().spreadWeight();
        long prefix = waiting.message().prefix();
        return Comparator.comparing(
                        (EngineState engine) -> !engine.recentPrefixes().contains(waiting.adapter(), prefix))
                .thenComparingDouble(engine -> spreadWeight * engine.batchUtilization())
                .thenComparing(engine -> engine.endpoint().id());
    }

    private void grant(WaitingRequest waiting, EngineState engine, Instant now, Effects effects) {
        PeerMessage.PermitRequest message = waiting.message();
        pool.queue().remove(message.request());
        Permit permit = new Permit(
                message.request(),
                message.attempt(),
                waiting.holder(),
                engine.endpoint().id(),
                message.adapter(),
                Optional.of(message.caller()),
                message.fingerprint(),
                message.parts(),
                pool.sequence().next(),
                now,
                waiting.coldStart() ? Duration.between(waiting.arrivedAt(), now).toMillis() : 0);
        pool.addPermit(permit);
        engine.recordUse(message.adapter(), now);
        engine.recentPrefixes().add(message.adapter(), message.prefix());
        engine.setReservation(engine.reservation().filter(reserved -> !reserved.equals(message.fingerprint())));
        sendGrant(permit, engine.endpoint(), effects);
    }

    /** Sends a grant, or resends one whose message may have been lost. */
    void sendGrant(Permit permit, Endpoint endpoint, Effects effects) {
        effects.send(
                permit.holder().host(),
                new PeerMessage.PermitGrant(
                        permit.request(),
                        permit.attempt(),
                        pool.id(),
                        pool.term(),
                        permit.sequence(),
                        endpoint,
                        permit.loadStallMilliseconds()));
    }
}
