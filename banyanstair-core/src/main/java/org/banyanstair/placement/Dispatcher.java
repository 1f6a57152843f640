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
final class Dispatcher {
    private final Pool pool;

    Dispatcher(Pool pool) {
        this.pool = pool;
    }

    /** Grants as many permits as there is room for, most urgent requests first. */
    void grantAll(Instant now, Effects effects) {
        clearReservations();
        Set<AdapterVersion> without = new HashSet<>();
        List<PendingUnload> pendingUnloads = pool.ownership().pendingUnloads(pool.id());
        for (WaitingRequest waiting : pool.queue().inOrder()) {
            boolean ordinary =
                    waiting.message().tried().isEmpty() && waiting.bound().isEmpty() && crashes(waiting) == 0;
            if (ordinary && without.contains(waiting.adapter())) {
                continue;
            }
            Optional<EngineState> engine = choose(waiting, pendingUnloads);
            if (engine.isPresent()) {
                grant(waiting, engine.get(), now, effects);
            } else if (ordinary) {
                without.add(waiting.adapter());
            }
        }
    }

    private int crashes(WaitingRequest waiting) {
        return pool.suspects().crashCount(waiting.message().fingerprint());
    }

    private Optional<EngineState> choose(WaitingRequest waiting, List<PendingUnload> pendingUnloads) {
        Fingerprint fingerprint = waiting.message().fingerprint();
        if (pool.isUnderVerification(fingerprint)) {
            return Optional.empty();
        }
        List<EngineState> withAdapter = pool.engines().values().stream()
                .filter(engine -> engine.takesPermits() && engine.isLoaded(waiting.adapter()))
                .filter(engine -> waiting.mayUse(engine.endpoint().id()))
                .filter(engine -> !isUnloadPending(engine, waiting.adapter(), pendingUnloads))
                .toList();
        Optional<EngineState> chosen = withAdapter.stream()
                .filter(engine -> engine.hasRoom() && admits(engine, fingerprint))
                .min(preference(waiting));
        if (chosen.isEmpty() && crashes(waiting) >= CrashSuspects.CRASHES_BEFORE_ISOLATION) {
            reserve(withAdapter, fingerprint);
        }
        return chosen;
    }

    private boolean isUnloadPending(EngineState engine, AdapterVersion adapter, List<PendingUnload> pendingUnloads) {
        return pendingUnloads.stream()
                .anyMatch(unload -> unload.endpoint().equals(engine.endpoint().id())
                        && unload.adapter().equals(adapter)
                        && engine.incarnation().isPresent()
                        && unload.incarnation() == engine.incarnation().getAsLong());
    }

    /** Suspects never share an engine with each other, and a request with two crashes shares it with nobody. */
    private boolean admits(EngineState engine, Fingerprint fingerprint) {
        int crashes = pool.suspects().crashCount(fingerprint);
        boolean reservedForOther = engine.reservedFor()
                .filter(reserved -> !reserved.equals(fingerprint))
                .isPresent();
        if (reservedForOther) {
            return false;
        }
        int highest = engine.occupants()
                .mapToInt(permit -> pool.suspects().crashCount(permit.fingerprint()))
                .max()
                .orElse(0);
        if (highest >= CrashSuspects.CRASHES_BEFORE_ISOLATION) {
            return false;
        }
        if (crashes >= CrashSuspects.CRASHES_BEFORE_ISOLATION) {
            return engine.occupants().findAny().isEmpty();
        }
        return crashes == 0 || highest == 0;
    }

    private void reserve(List<EngineState> engines, Fingerprint fingerprint) {
        boolean reserved = pool.engines().values().stream()
                .anyMatch(engine ->
                        engine.reservedFor().filter(fingerprint::equals).isPresent());
        if (!reserved) {
            engines.stream()
                    .filter(engine -> engine.reservedFor().isEmpty())
                    .min(Comparator.comparingInt(engine -> engine.permits().size()))
                    .ifPresent(engine -> engine.reserveFor(Optional.of(fingerprint)));
        }
    }

    private void clearReservations() {
        Set<Fingerprint> waiting = new HashSet<>();
        pool.engines().values().stream()
                .filter(engine -> engine.reservedFor().isPresent())
                .forEach(engine -> {
                    if (waiting.isEmpty()) {
                        pool.queue()
                                .inOrder()
                                .forEach(each -> waiting.add(each.message().fingerprint()));
                    }
                    engine.reserveFor(engine.reservedFor().filter(waiting::contains));
                });
    }

    /** A cached prefix first; then the preset decides between the emptiest and the fullest engine. */
    private Comparator<EngineState> preference(WaitingRequest waiting) {
        double weight = pool.configuration().preset().spreadWeight();
        long prefix = waiting.message().prefix();
        return Comparator.comparing((EngineState engine) -> !engine.prefixes().contains(waiting.adapter(), prefix))
                .thenComparingDouble(engine -> weight * engine.fullness())
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
                pool.sequence().next(),
                now,
                waiting.needsLoad() ? Duration.between(waiting.arrivedAt(), now).toMillis() : 0);
        pool.addPermit(permit);
        engine.used(message.adapter(), now);
        engine.prefixes().sent(message.adapter(), message.prefix());
        engine.reserveFor(engine.reservedFor().filter(reserved -> !reserved.equals(message.fingerprint())));
        send(permit, engine.endpoint(), effects);
    }

    /** Sends a grant; also used to repeat one whose message may be lost. */
    void send(Permit permit, Endpoint endpoint, Effects effects) {
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
