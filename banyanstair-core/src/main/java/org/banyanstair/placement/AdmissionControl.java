package org.banyanstair.placement;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.errors.Failure;
import org.banyanstair.membership.EndpointKind;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effects;
import org.banyanstair.routing.RetryBudget;

/** Queues permit requests that the limits and the deadline allow, and refuses the others as not run. */
final class AdmissionControl {
    private final PoolState pool;
    private final LoadPlanner loads;
    private final RetryBudget retryBudget = new RetryBudget();

    AdmissionControl(PoolState pool, LoadPlanner loads) {
        this.pool = pool;
        this.loads = loads;
    }

    /** Queues a request or refuses it. */
    void admit(HostIdentity sender, PeerMessage.PermitRequest message, Instant now, Effects effects) {
        Optional<Failure> refusal = refusal(message, now);
        if (refusal.isPresent()) {
            refuse(sender.host(), message, refusal.get(), effects);
            return;
        }
        if (message.attempt() == 1) {
            pool.popularity().recordRequest(message.adapter(), now);
            retryBudget.recordFirstAttempt(now);
        }
        enqueue(sender, clearTriedIfExhausted(message), now);
    }

    private void enqueue(HostIdentity sender, PeerMessage.PermitRequest message, Instant now) {
        Optional<EndpointId> boundEngine = bind(message);
        boolean loaded = pool.engines().values().stream()
                .filter(engine ->
                        boundEngine.map(engine.endpoint().id()::equals).orElse(true))
                .anyMatch(engine -> engine.acceptsPermits() && engine.isLoaded(message.adapter()));
        pool.queue()
                .add(new WaitingRequest(sender, message, now, pool.sequence().next(), false, boundEngine, !loaded));
    }

    private Optional<EndpointId> bind(PeerMessage.PermitRequest message) {
        Map<EndpointId, Integer> boundRequests = new HashMap<>();
        pool.queue().inOrder().forEach(waiting -> waiting.boundEngine()
                .ifPresent(id -> boundRequests.merge(id, 1, Integer::sum)));
        List<EngineBinding.Load> engineLoads = pool.engines().values().stream()
                .filter(EngineState::acceptsPermits)
                .map(engine -> engine.endpoint().id())
                .filter(id -> !message.tried().contains(id))
                .map(id -> new EngineBinding.Load(
                        id, pool.engines().get(id).permits().size() + boundRequests.getOrDefault(id, 0)))
                .toList();
        return pool.settings().placement().binding().bind(message.request(), engineLoads);
    }

    private Optional<Failure> refusal(PeerMessage.PermitRequest message, Instant now) {
        if (!now.isBefore(message.deadline())) {
            return Optional.of(new Failure.DeadlinePassed(message.deadline()));
        }
        if (crashesEndpoints(message, now)) {
            return Optional.of(
                    new Failure.RequestCrashesEndpoints(pool.suspects().crashCount(message.fingerprint()), false));
        }
        if (message.attempt() == 1) {
            return firstAttemptRefusal(message, now);
        }
        double retryShare = pool.configuration().preset().retryShare();
        boolean exemptFromBudget = pool.suspects().crashCount(message.fingerprint()) > 0
                || message.tried().isEmpty();
        return exemptFromBudget || retryBudget.tryAcquire(retryShare, now)
                ? Optional.empty()
                : Optional.of(new Failure.RetryBudgetSpent(pool.id()));
    }

    private boolean crashesEndpoints(PeerMessage.PermitRequest message, Instant now) {
        return pool.suspects().isRefused(message.fingerprint())
                || pool.suspects().isPartRefused(message.parts(), now);
    }

    /** Clears the tried engines once a request has tried all of them, because some may have restarted since. */
    private PeerMessage.PermitRequest clearTriedIfExhausted(PeerMessage.PermitRequest message) {
        if (!hasTriedAllEngines(message)) {
            return message;
        }
        return new PeerMessage.PermitRequest(
                message.request(),
                message.attempt(),
                message.pool(),
                message.adapter(),
                message.caller(),
                message.callerLimit(),
                message.queueLimit(),
                message.priority(),
                message.deadline(),
                message.prefix(),
                message.fingerprint(),
                message.parts(),
                Set.of());
    }

    private boolean hasTriedAllEngines(PeerMessage.PermitRequest message) {
        return pool.membership().listing().endpointsOf(pool.id()).stream()
                .filter(endpoint -> endpoint.kind() == EndpointKind.ENGINE)
                .allMatch(endpoint -> message.tried().contains(endpoint.id()));
    }

    private Optional<Failure> firstAttemptRefusal(PeerMessage.PermitRequest message, Instant now) {
        long running = pool.permits().values().stream()
                .filter(permit ->
                        permit.caller().filter(message.caller()::equals).isPresent())
                .count();
        if (running + pool.queue().sizeForCaller(message.caller()) >= message.callerLimit()) {
            return Optional.of(new Failure.CallerLimitReached(message.caller(), message.callerLimit()));
        }
        if (pool.queue().size() >= message.queueLimit()) {
            return Optional.of(new Failure.QueueFull(pool.id(), message.queueLimit()));
        }
        if (!pool.settings().placement().usesAdmissionControl()) {
            return Optional.empty();
        }
        boolean inSlot = pool.engines().values().stream()
                .anyMatch(engine -> engine.slots().containsKey(message.adapter()));
        Instant earliest = inSlot ? now : loads.earliestLoadTime(message.adapter(), message.deadline(), now);
        return earliest.isBefore(message.deadline())
                ? Optional.empty()
                : Optional.of(new Failure.DeadlineUnreachable(message.deadline(), earliest));
    }

    private void refuse(HostId host, PeerMessage.PermitRequest message, Failure failure, Effects effects) {
        effects.send(
                host,
                new PeerMessage.PermitRefusal(message.request(), message.attempt(), pool.id(), pool.term(), failure));
    }

    /**
     * Removes the waiting requests that can no longer be served: holder terminated, deadline passed, crash limit
     * reached, or adapter not loadable. All but the first are answered with a refusal.
     */
    void refuseUnservable(Instant now, Effects effects) {
        pool.queue().removeIf(waiting -> pool.membership().isTerminated(waiting.holder()));
        pool.queue()
                .removeIf(waiting -> !now.isBefore(waiting.message().deadline()))
                .forEach(waiting -> refuse(
                        waiting.holder().host(),
                        waiting.message(),
                        new Failure.DeadlinePassed(waiting.message().deadline()),
                        effects));
        pool.queue()
                .removeIf(waiting -> crashesEndpoints(waiting.message(), now))
                .forEach(waiting -> refuse(
                        waiting.holder().host(),
                        waiting.message(),
                        new Failure.RequestCrashesEndpoints(
                                pool.suspects().crashCount(waiting.message().fingerprint()), false),
                        effects));
        List<WaitingRequest> withoutLoadableAdapter =
                pool.queue().removeIf(waiting -> loads.hasReachedLoadFailureLimit(waiting.adapter()));
        withoutLoadableAdapter.forEach(waiting -> {
            loads.resetFailures(waiting.adapter());
            refuse(
                    waiting.holder().host(),
                    waiting.message(),
                    new Failure.AdapterLoadFailed(waiting.adapter()),
                    effects);
        });
    }
}
