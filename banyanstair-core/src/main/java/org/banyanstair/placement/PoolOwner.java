package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.EngineCommandResult;
import org.banyanstair.external.EngineStatus;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.PoolId;
import org.banyanstair.ownership.OwnershipRecord;
import org.banyanstair.peer.AttemptOutcome;
import org.banyanstair.peer.EndpointReport;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effects;

/**
 * Decides for one pool of engines under one term: who runs where, and which adapters are loaded.
 *
 * <p>Not safe for use by several threads.
 */
public final class PoolOwner {
    private final PoolState pool;
    private final TakeoverProgress takeover;
    private final PermitDispatcher dispatcher;
    private final LoadPlanner loadPlanner;
    private final EngineMonitor engineMonitor;
    private final AdmissionControl admission;
    private final PermitReconciler reconciler;

    /**
     * Creates the owner at the moment at which the log shows its claim.
     *
     * @param id the pool
     * @param term offset of the claim
     * @param context what the owner needs from its host
     * @param now present instant
     */
    public PoolOwner(PoolId id, long term, PoolContext context, Instant now) {
        this.pool = new PoolState(id, term, context);
        this.takeover = new TakeoverProgress(now, context.settings());
        this.dispatcher = new PermitDispatcher(pool);
        this.loadPlanner = new LoadPlanner(pool, takeover);
        this.engineMonitor = new EngineMonitor(pool, loadPlanner);
        this.admission = new AdmissionControl(pool, loadPlanner);
        this.reconciler = new PermitReconciler(pool, takeover, now);
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
    public void permitRequested(HostIdentity sender, PeerMessage.PermitRequest message, Instant now, Effects effects) {
        Permit current = pool.permits().get(message.request());
        if (current != null && current.attempt() >= message.attempt()) {
            resendGrant(current, message, effects);
            return;
        }
        pool.removePermit(message.request()).ifPresent(superseded -> endSupersededAttempt(superseded, now, effects));
        boolean queued = pool.queue()
                .find(message.request())
                .filter(waiting -> waiting.message().attempt() >= message.attempt())
                .isPresent();
        if (queued) {
            return;
        }
        admission.admit(sender, message, now, effects);
        schedule(now, effects);
    }

    /** Repeats a grant under a new sequence, so that the holder does not take it for one from before an inventory. */
    private void resendGrant(Permit current, PeerMessage.PermitRequest message, Effects effects) {
        if (current.attempt() == message.attempt()) {
            Permit renewed = new Permit(
                    current.request(),
                    current.attempt(),
                    current.holder(),
                    current.endpoint(),
                    current.adapter(),
                    Optional.of(message.caller()),
                    current.fingerprint(),
                    pool.sequence().next(),
                    current.grantedAt(),
                    current.loadStallMilliseconds());
            pool.addPermit(renewed);
            pool.engine(current.endpoint())
                    .ifPresent(engine -> dispatcher.sendGrant(renewed, engine.endpoint(), effects));
        }
    }

    /**
     * Takes a permit back, or a request out of the queue.
     *
     * @param message the message
     * @param now present instant
     * @param effects collects what to do
     */
    public void permitReleased(PeerMessage.PermitRelease message, Instant now, Effects effects) {
        pool.queue()
                .find(message.request())
                .filter(waiting -> waiting.message().attempt() <= message.attempt())
                .ifPresent(waiting -> pool.queue().remove(message.request()));
        Permit permit = pool.permits().get(message.request());
        if (permit != null && permit.attempt() <= message.attempt()) {
            pool.removePermit(message.request());
            permitEnded(permit, message.outcome(), now, effects);
        }
        schedule(now, effects);
    }

    /** The release of an earlier attempt may be lost, so the attempt counts as broken. */
    private void endSupersededAttempt(Permit permit, Instant now, Effects effects) {
        permitEnded(permit, new AttemptOutcome.Broken(new Failure.EndpointFailed(permit.endpoint()), 0), now, effects);
    }

    private void permitEnded(Permit permit, AttemptOutcome outcome, Instant now, Effects effects) {
        if (outcome instanceof AttemptOutcome.Completed) {
            engineMonitor.attemptCompleted(permit, effects);
        } else if (outcome instanceof AttemptOutcome.Broken) {
            pool.addUnconfirmedEnd(permit, now);
            engineMonitor.attemptBroken(permit, now, effects);
        } else if (outcome instanceof AttemptOutcome.Cancelled) {
            pool.addUnconfirmedEnd(permit, now);
        } else if (outcome instanceof AttemptOutcome.NotStarted notStarted) {
            engineMonitor.attemptNotStarted(permit, notStarted.failure(), now, effects);
        }
    }

    /**
     * Takes the permits that a host holds.
     *
     * @param sender the host
     * @param reply its permits
     * @param now present instant
     * @param effects collects what to do
     */
    public void inventoryReceived(HostIdentity sender, PeerMessage.InventoryReply reply, Instant now, Effects effects) {
        reconciler.inventoryReceived(sender, reply, now);
        schedule(now, effects);
    }

    /**
     * Takes a record of the ownership stream that announces an unload.
     *
     * @param announcement the record
     * @param now present instant
     * @param effects collects what to do
     */
    public void unloadAnnouncementRead(OwnershipRecord.UnloadAnnouncement announcement, Instant now, Effects effects) {
        loadPlanner.unloadAnnouncementRead(announcement, now, effects);
    }

    /**
     * Takes the news that the log did not take an append.
     *
     * @param append number of the append
     * @param now present instant
     */
    public void appendRejected(long append, Instant now) {
        loadPlanner.appendRejected(append, now);
    }

    /**
     * Takes the news that an append has ended otherwise.
     *
     * @param append number of the append
     */
    public void appendEnded(long append) {
        loadPlanner.appendEnded(append);
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
            EndpointId endpoint, AdapterVersion adapter, EngineCommandResult result, Instant now, Effects effects) {
        pool.engine(endpoint).ifPresent(engine -> loadPlanner.loadEnded(engine, adapter, result, now, effects));
        schedule(now, effects);
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
            EndpointId endpoint, AdapterVersion adapter, EngineCommandResult result, Instant now, Effects effects) {
        pool.engine(endpoint).ifPresent(engine -> loadPlanner.unloadEnded(engine, adapter, result, now, effects));
        schedule(now, effects);
    }

    /**
     * Takes the end of an order to raise the fence.
     *
     * @param endpoint the engine
     * @param result how it ended
     * @param now present instant
     * @param effects collects what to do
     */
    public void raiseFenceEnded(EndpointId endpoint, EngineCommandResult result, Instant now, Effects effects) {
        if (result instanceof EngineCommandResult.Done) {
            pool.engine(endpoint).ifPresent(EngineState::markFenceRaised);
        }
        schedule(now, effects);
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
        engineMonitor.statusRead(endpoint, askedAt, status, now, effects);
        schedule(now, effects);
    }

    /**
     * Takes the news that the status of an engine could not be read.
     *
     * @param endpoint the engine
     * @param now present instant
     * @param effects collects what to do
     */
    public void statusReadFailed(EndpointId endpoint, Instant now, Effects effects) {
        engineMonitor.statusReadFailed(endpoint, now, effects);
        schedule(now, effects);
    }

    /**
     * Does what is due.
     *
     * @param now present instant
     * @param effects collects what to do
     */
    public void tick(Instant now, Effects effects) {
        engineMonitor.tick(now, effects);
        loadPlanner.tick(now);
        if (takeover.tryComplete(pool.membership(), now)) {
            loadPlanner.takeoverCompleted(now);
        }
        reconciler.tick(now, effects);
        pool.popularity().removeNegligibleScores(now);
        Duration ageing = Duration.ofMillis(pool.configuration().preset().standardAgeingMilliseconds());
        pool.queue().promoteAged(ageing, now);
        schedule(now, effects);
    }

    private void schedule(Instant now, Effects effects) {
        admission.refuseUnservable(now, effects);
        dispatcher.grantPermits(now, effects);
        loadPlanner.plan(now, effects);
    }

    /**
     * Describes the engines of the pool.
     *
     * @return one report for each engine
     */
    public List<EndpointReport> endpointReports() {
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
