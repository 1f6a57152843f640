package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.errors.Failure;
import org.banyanstair.membership.EndpointKind;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.RequestId;
import org.banyanstair.ownership.OwnershipRecord;
import org.banyanstair.peer.AttemptOutcome;
import org.banyanstair.peer.EndpointReport;
import org.banyanstair.peer.HeldPermit;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.platform.EngineStatus;
import org.banyanstair.platform.OrderResult;
import org.banyanstair.reducer.Effects;
import org.banyanstair.routing.RetryBudget;

/**
 * Decides for one pool of engines under one term: who runs where, and which adapters are loaded.
 *
 * <p>Not safe for use by several threads.
 */
public final class PoolOwner {
    private static final Duration RECONCILIATION_INTERVAL = Duration.ofSeconds(10);

    private final Pool pool;
    private final Takeover takeover;
    private final Dispatcher dispatcher;
    private final LoadPlanner loads;
    private final EngineWatcher engines;
    private final RetryBudget retries = new RetryBudget();
    private Instant nextInventoryAt = Instant.MIN;
    private Instant nextInterruptedAt = Instant.MIN;
    private Instant nextReconciliationAt;

    /**
     * Creates the owner at the moment at which the log shows its claim.
     *
     * @param id the pool
     * @param term offset of the claim
     * @param context what the owner needs from its host
     * @param now present instant
     */
    public PoolOwner(PoolId id, long term, PoolContext context, Instant now) {
        this.pool = new Pool(id, term, context);
        this.takeover = new Takeover(now, context.settings());
        this.dispatcher = new Dispatcher(pool);
        this.loads = new LoadPlanner(pool, takeover);
        this.engines = new EngineWatcher(pool, loads);
        this.nextReconciliationAt = now.plus(RECONCILIATION_INTERVAL);
    }

    /**
     * Returns the term of this owner.
     *
     * @return offset of its claim
     */
    public long term() {
        return pool.term();
    }

    /**
     * Takes a request for a permit.
     *
     * @param sender daemon that asks
     * @param message what it asks for
     * @param now present instant
     * @param effects collects what to do
     */
    public void requested(HostIdentity sender, PeerMessage.PermitRequest message, Instant now, Effects effects) {
        Permit present = pool.permits().get(message.request());
        if (present != null && present.attempt() >= message.attempt()) {
            repeatGrant(present, message, effects);
            return;
        }
        pool.removePermit(message.request()).ifPresent(earlier -> endedUnreported(earlier, now, effects));
        boolean waits = pool.queue()
                .find(message.request())
                .filter(waiting -> waiting.message().attempt() >= message.attempt())
                .isPresent();
        if (waits) {
            return;
        }
        Optional<Failure> refusal = refusal(message, now);
        if (refusal.isPresent()) {
            refuse(sender.host(), message, refusal.get(), effects);
            return;
        }
        if (message.attempt() == 1) {
            pool.popularity().count(message.adapter(), now);
            retries.countFirst(now);
        }
        enqueue(sender, renewed(message), now);
        decide(now, effects);
    }

    private void enqueue(HostIdentity sender, PeerMessage.PermitRequest message, Instant now) {
        Optional<EndpointId> bound = bind(message);
        boolean loaded = pool.engines().values().stream()
                .filter(engine -> bound.map(engine.endpoint().id()::equals).orElse(true))
                .anyMatch(engine -> engine.takesPermits() && engine.isLoaded(message.adapter()));
        pool.queue()
                .add(new WaitingRequest(sender, message, now, pool.sequence().next(), false, bound, !loaded));
    }

    private Optional<EndpointId> bind(PeerMessage.PermitRequest message) {
        Map<EndpointId, Integer> bound = new HashMap<>();
        pool.queue().inOrder().forEach(waiting -> waiting.bound().ifPresent(id -> bound.merge(id, 1, Integer::sum)));
        List<EngineBinding.Load> loads = pool.engines().values().stream()
                .filter(EngineState::takesPermits)
                .map(engine -> engine.endpoint().id())
                .filter(id -> !message.tried().contains(id))
                .map(id -> new EngineBinding.Load(
                        id, pool.engines().get(id).permits().size() + bound.getOrDefault(id, 0)))
                .toList();
        return pool.settings().placement().binding().bind(message.request(), loads);
    }

    /** Repeats a grant under a new sequence, so that the holder does not take it for one from before an inventory. */
    private void repeatGrant(Permit present, PeerMessage.PermitRequest message, Effects effects) {
        if (present.attempt() == message.attempt()) {
            Permit renewed = new Permit(
                    present.request(),
                    present.attempt(),
                    present.holder(),
                    present.endpoint(),
                    present.adapter(),
                    Optional.of(message.caller()),
                    present.fingerprint(),
                    pool.sequence().next(),
                    present.grantedAt(),
                    present.loadStallMilliseconds());
            pool.addPermit(renewed);
            pool.engine(present.endpoint()).ifPresent(engine -> dispatcher.send(renewed, engine.endpoint(), effects));
        }
    }

    private Optional<Failure> refusal(PeerMessage.PermitRequest message, Instant now) {
        if (!now.isBefore(message.deadline())) {
            return Optional.of(new Failure.DeadlinePassed(message.deadline()));
        }
        if (pool.suspects().isRefused(message.fingerprint())) {
            return Optional.of(
                    new Failure.RequestCrashesEndpoints(pool.suspects().crashes(message.fingerprint()), false));
        }
        if (message.attempt() == 1) {
            return refusalOfFirstAttempt(message, now);
        }
        double share = pool.configuration().preset().retryShare();
        boolean free = pool.suspects().crashes(message.fingerprint()) > 0
                || message.tried().isEmpty();
        return free || retries.tryRetry(share, now)
                ? Optional.empty()
                : Optional.of(new Failure.RetryBudgetSpent(pool.id()));
    }

    /** A request that has tried all engines may try them again, because some may have restarted since. */
    private PeerMessage.PermitRequest renewed(PeerMessage.PermitRequest message) {
        if (!isTriedEverywhere(message)) {
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
                Set.of());
    }

    private boolean isTriedEverywhere(PeerMessage.PermitRequest message) {
        return pool.membership().listing().endpointsOf(pool.id()).stream()
                .filter(endpoint -> endpoint.kind() == EndpointKind.ENGINE)
                .allMatch(endpoint -> message.tried().contains(endpoint.id()));
    }

    private Optional<Failure> refusalOfFirstAttempt(PeerMessage.PermitRequest message, Instant now) {
        long running = pool.permits().values().stream()
                .filter(permit ->
                        permit.caller().filter(message.caller()::equals).isPresent())
                .count();
        if (running + pool.queue().ofCaller(message.caller()) >= message.callerLimit()) {
            return Optional.of(new Failure.CallerLimitReached(message.caller(), message.callerLimit()));
        }
        if (pool.queue().size() >= message.queueLimit()) {
            return Optional.of(new Failure.QueueFull(pool.id(), message.queueLimit()));
        }
        if (!pool.settings().placement().admits()) {
            return Optional.empty();
        }
        boolean known = pool.engines().values().stream()
                .anyMatch(engine -> engine.slots().containsKey(message.adapter()));
        Instant earliest = known ? now : loads.earliestLoad(message.adapter(), message.deadline(), now);
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
     * Takes a permit back, or a request out of the queue.
     *
     * @param message the message
     * @param now present instant
     * @param effects collects what to do
     */
    public void released(PeerMessage.PermitRelease message, Instant now, Effects effects) {
        pool.queue()
                .find(message.request())
                .filter(waiting -> waiting.message().attempt() <= message.attempt())
                .ifPresent(waiting -> pool.queue().remove(message.request()));
        Permit permit = pool.permits().get(message.request());
        if (permit != null && permit.attempt() <= message.attempt()) {
            pool.removePermit(message.request());
            permitEnded(permit, message.outcome(), now, effects);
        }
        decide(now, effects);
    }

    /** The release of an earlier attempt may be lost, so the attempt counts as broken. */
    private void endedUnreported(Permit permit, Instant now, Effects effects) {
        permitEnded(permit, new AttemptOutcome.Broken(new Failure.EndpointFailed(permit.endpoint()), 0), now, effects);
    }

    private void permitEnded(Permit permit, AttemptOutcome outcome, Instant now, Effects effects) {
        if (outcome instanceof AttemptOutcome.Completed) {
            engines.completed(permit, effects);
        } else if (outcome instanceof AttemptOutcome.Broken) {
            endUnconfirmed(permit, now);
            engines.broken(permit, now, effects);
        } else if (outcome instanceof AttemptOutcome.Cancelled) {
            endUnconfirmed(permit, now);
        } else if (outcome instanceof AttemptOutcome.NotStarted notStarted) {
            engines.notStarted(permit, notStarted.failure(), now, effects);
        }
    }

    /** A host that runs an attempt elsewhere, under a grant of an earlier term, will refuse the present grant. */
    private boolean isUnknown(HeldPermit held) {
        Permit present = pool.permits().get(held.request());
        return present == null
                || present.attempt() <= held.attempt() && !present.endpoint().equals(held.endpoint());
    }

    private void replacePermit(Permit permit) {
        pool.removePermit(permit.request());
        pool.addPermit(permit);
    }

    /** The engine may run the request until the cancellation or the loss of the connection has reached it. */
    private void endUnconfirmed(Permit permit, Instant now) {
        pool.engine(permit.endpoint()).ifPresent(engine -> engine.endUnconfirmed(permit, now));
    }

    /**
     * Takes the permits that a host holds.
     *
     * @param sender the host
     * @param reply its permits
     * @param now present instant
     * @param effects collects what to do
     */
    public void inventoried(HostIdentity sender, PeerMessage.InventoryReply reply, Instant now, Effects effects) {
        if (reply.term() != pool.term()) {
            return;
        }
        List<RequestId> held = reply.permits().stream().map(HeldPermit::request).toList();
        pool.permits().values().stream()
                .filter(permit -> permit.holder().equals(sender))
                .filter(permit -> permit.sequence() < reply.sequence() && !held.contains(permit.request()))
                .toList()
                .forEach(permit -> {
                    pool.removePermit(permit.request());
                    endUnconfirmed(permit, now);
                });
        reply.permits().stream()
                .filter(this::isUnknown)
                .forEach(permit -> replacePermit(new Permit(
                        permit.request(),
                        permit.attempt(),
                        sender,
                        permit.endpoint(),
                        permit.adapter(),
                        Optional.empty(),
                        permit.fingerprint(),
                        reply.sequence(),
                        now,
                        0)));
        takeover.replied(sender.host());
        decide(now, effects);
    }

    /**
     * Takes a record of the ownership stream that announces an unload.
     *
     * @param announcement the record
     * @param now present instant
     * @param effects collects what to do
     */
    public void announcementRead(OwnershipRecord.UnloadAnnouncement announcement, Instant now, Effects effects) {
        loads.announcementRead(announcement, now, effects);
    }

    /**
     * Takes the news that the log did not take an append.
     *
     * @param append number of the append
     * @param now present instant
     */
    public void appendRejected(long append, Instant now) {
        loads.appendRejected(append, now);
    }

    /**
     * Takes the news that an append has ended otherwise.
     *
     * @param append number of the append
     */
    public void appendEnded(long append) {
        loads.appendEnded(append);
    }

    /**
     * Takes the end of a load.
     *
     * @param endpoint the engine
     * @param adapter the adapter
     * @param result how it ended
     * @param now present instant
     * @param effects collects what to do
     */
    public void loadEnded(
            EndpointId endpoint, AdapterVersion adapter, OrderResult result, Instant now, Effects effects) {
        pool.engine(endpoint).ifPresent(engine -> loads.loadEnded(engine, adapter, result, now, effects));
        decide(now, effects);
    }

    /**
     * Takes the end of an unload.
     *
     * @param endpoint the engine
     * @param adapter the adapter
     * @param result how it ended
     * @param now present instant
     * @param effects collects what to do
     */
    public void unloadEnded(
            EndpointId endpoint, AdapterVersion adapter, OrderResult result, Instant now, Effects effects) {
        pool.engine(endpoint).ifPresent(engine -> loads.unloadEnded(engine, adapter, result, now, effects));
        decide(now, effects);
    }

    /**
     * Takes the end of an order to raise the fence.
     *
     * @param endpoint the engine
     * @param result how it ended
     * @param now present instant
     * @param effects collects what to do
     */
    public void fenceEnded(EndpointId endpoint, OrderResult result, Instant now, Effects effects) {
        if (result instanceof OrderResult.Done) {
            pool.engine(endpoint).ifPresent(EngineState::markFenceRaised);
        }
        decide(now, effects);
    }

    /**
     * Takes the status of an engine.
     *
     * @param endpoint the engine
     * @param askedAt when it was asked for
     * @param status the status
     * @param now present instant
     * @param effects collects what to do
     */
    public void statusRead(EndpointId endpoint, Instant askedAt, EngineStatus status, Instant now, Effects effects) {
        engines.statusRead(endpoint, askedAt, status, now, effects);
        decide(now, effects);
    }

    /**
     * Takes the news that the status of an engine could not be read.
     *
     * @param endpoint the engine
     * @param now present instant
     * @param effects collects what to do
     */
    public void statusFailed(EndpointId endpoint, Instant now, Effects effects) {
        engines.statusFailed(endpoint, now, effects);
        decide(now, effects);
    }

    /**
     * Does what is due.
     *
     * @param now present instant
     * @param effects collects what to do
     */
    public void tick(Instant now, Effects effects) {
        engines.tick(now, effects);
        loads.tick(now);
        if (takeover.update(pool.membership(), now)) {
            loads.takeoverCompleted(now);
        }
        askForInterrupted(now, effects);
        if (!takeover.isComplete() && !now.isBefore(nextInventoryAt)) {
            nextInventoryAt = now.plus(pool.settings().repeatInterval());
            takeover.missing(pool.membership()).forEach(host -> askInventory(host, effects));
        }
        if (!now.isBefore(nextReconciliationAt)) {
            nextReconciliationAt = now.plus(RECONCILIATION_INTERVAL);
            reconcilePermits(now, effects);
            pool.popularity().forget(now);
        }
        Duration ageing = Duration.ofMillis(pool.configuration().preset().standardAgeingMilliseconds());
        pool.queue().age(ageing, now);
        decide(now, effects);
    }

    /** A holder that was paused or whose grant is late could use a permit from before a restart of the engine. */
    private void askForInterrupted(Instant now, Effects effects) {
        if (now.isBefore(nextInterruptedAt)) {
            return;
        }
        nextInterruptedAt = now.plus(pool.settings().repeatInterval());
        pool.engines().values().stream()
                .flatMap(engine -> engine.permits().values().stream().filter(engine::isInterrupted))
                .map(permit -> permit.holder().host())
                .distinct()
                .forEach(host -> askInventory(host, effects));
    }

    private void askInventory(HostId host, Effects effects) {
        effects.send(
                host,
                new PeerMessage.InventoryRequest(
                        pool.id(), pool.term(), pool.sequence().next()));
    }

    /** Releases may be lost, so holders of old permits are asked which ones they still hold. */
    private void reconcilePermits(Instant now, Effects effects) {
        pool.permits().values().stream()
                .filter(permit -> !now.isBefore(permit.grantedAt().plus(RECONCILIATION_INTERVAL)))
                .map(permit -> permit.holder().host())
                .distinct()
                .forEach(host -> askInventory(host, effects));
    }

    private void decide(Instant now, Effects effects) {
        refuseHopeless(now, effects);
        dispatcher.grantAll(now, effects);
        loads.plan(now, effects);
    }

    private void refuseHopeless(Instant now, Effects effects) {
        pool.queue().removeIf(waiting -> pool.membership().isGone(waiting.holder()));
        pool.queue()
                .removeIf(waiting -> !now.isBefore(waiting.message().deadline()))
                .forEach(waiting -> refuse(
                        waiting.holder().host(),
                        waiting.message(),
                        new Failure.DeadlinePassed(waiting.message().deadline()),
                        effects));
        pool.queue()
                .removeIf(waiting -> pool.suspects().isRefused(waiting.message().fingerprint()))
                .forEach(waiting -> refuse(
                        waiting.holder().host(),
                        waiting.message(),
                        new Failure.RequestCrashesEndpoints(
                                pool.suspects().crashes(waiting.message().fingerprint()), false),
                        effects));
        List<WaitingRequest> unloadable = pool.queue().removeIf(waiting -> loads.hasGivenUp(waiting.adapter()));
        unloadable.forEach(waiting -> {
            loads.resetFailures(waiting.adapter());
            refuse(
                    waiting.holder().host(),
                    waiting.message(),
                    new Failure.AdapterLoadFailed(waiting.adapter()),
                    effects);
        });
    }

    /**
     * Describes the engines of the pool.
     *
     * @return one report for each engine
     */
    public List<EndpointReport> reports() {
        return pool.engines().values().stream()
                .map(engine -> new EndpointReport(
                        engine.endpoint().id(),
                        pool.id(),
                        engine.endpoint().presence(),
                        pool.membership().self().host(),
                        pool.term(),
                        engine.isReachable(),
                        engine.endpoint().slots(),
                        engine.slots().entrySet().stream()
                                .filter(entry -> entry.getValue().state() == SlotState.LOADED)
                                .map(entry -> entry.getKey().engineName())
                                .sorted()
                                .toList(),
                        engine.permits().size(),
                        engine.endpoint().batchLimit()))
                .toList();
    }
}
