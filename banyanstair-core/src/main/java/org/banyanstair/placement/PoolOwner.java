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

/** Schedules the requests and adapter loads of one engine pool during one ownership term. Not thread-safe. */
public final class PoolOwner {
    private final PoolState pool;
    private final TakeoverProgress takeover;
    private final PermitDispatcher dispatcher;
    private final LoadPlanner loadPlanner;
    private final EngineMonitor engineMonitor;
    private final AdmissionControl admission;
    private final PermitReconciler reconciler;

    /**
     * Creates the owner when its claim was read from the log.
     *
     * @param term log offset of the claim
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

    /** Returns the log offset of this owner's claim. */
    public long term() {
        return pool.term();
    }

    /** Handles a permit request: queues it, refuses it, or resends the grant of an attempt that already has one. */
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

    /** Resends a grant with a new sequence number, because the holder rejects numbers older than its last inventory. */
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
                    current.parts(),
                    pool.sequence().next(),
                    current.grantedAt(),
                    current.loadStallMilliseconds());
            pool.addPermit(renewed);
            pool.engine(current.endpoint())
                    .ifPresent(engine -> dispatcher.sendGrant(renewed, engine.endpoint(), effects));
        }
    }

    /** Removes a released permit, or a withdrawn request from the queue. */
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

    /** Treats an earlier attempt as broken, because its release message may have been lost. */
    private void endSupersededAttempt(Permit permit, Instant now, Effects effects) {
        permitEnded(permit, new AttemptOutcome.Broken(new Failure.EndpointFailed(permit.endpoint()), 0), now, effects);
    }

    private void permitEnded(Permit permit, AttemptOutcome outcome, Instant now, Effects effects) {
        if (outcome instanceof AttemptOutcome.Completed) {
            engineMonitor.attemptCompleted(permit, now, effects);
        } else if (outcome instanceof AttemptOutcome.Broken broken) {
            pool.addUnconfirmedEnd(permit, now);
            engineMonitor.attemptBroken(permit, broken.tokensDelivered() > 0, now, effects);
        } else if (outcome instanceof AttemptOutcome.Cancelled) {
            pool.addUnconfirmedEnd(permit, now);
        } else if (outcome instanceof AttemptOutcome.NotStarted notStarted) {
            engineMonitor.attemptNotStarted(permit, notStarted.failure(), now, effects);
        }
    }

    /** Handles the inventory of the permits that a host holds. */
    public void inventoryReceived(HostIdentity sender, PeerMessage.InventoryReply reply, Instant now, Effects effects) {
        reconciler.inventoryReceived(sender, reply, now);
        schedule(now, effects);
    }

    /** Handles an unload announcement that was read from the ownership stream. */
    public void unloadAnnouncementRead(OwnershipRecord.UnloadAnnouncement announcement, Instant now, Effects effects) {
        loadPlanner.unloadAnnouncementRead(announcement, now, effects);
    }

    /** Handles an append that the log rejected. */
    public void appendRejected(long appendId, Instant now) {
        loadPlanner.appendRejected(appendId, now);
    }

    /** Handles the end of an append that was not rejected. */
    public void appendEnded(long appendId) {
        loadPlanner.appendEnded(appendId);
    }

    /** Handles the end of an adapter load. */
    public void loadEnded(
            EndpointId endpoint, AdapterVersion adapter, EngineCommandResult result, Instant now, Effects effects) {
        pool.engine(endpoint).ifPresent(engine -> loadPlanner.loadEnded(engine, adapter, result, now, effects));
        schedule(now, effects);
    }

    /** Handles the end of an adapter unload. */
    public void unloadEnded(
            EndpointId endpoint, AdapterVersion adapter, EngineCommandResult result, Instant now, Effects effects) {
        pool.engine(endpoint).ifPresent(engine -> loadPlanner.unloadEnded(engine, adapter, result, now, effects));
        schedule(now, effects);
    }

    /** Handles the end of a command that raises the fencing token of an engine. */
    public void raiseFenceEnded(EndpointId endpoint, EngineCommandResult result, Instant now, Effects effects) {
        if (result instanceof EngineCommandResult.Done) {
            pool.engine(endpoint).ifPresent(EngineState::markFenceRaised);
        }
        schedule(now, effects);
    }

    /**
     * Handles the status of an engine.
     *
     * @param askedAt when the status was requested
     */
    public void statusRead(EndpointId endpoint, Instant askedAt, EngineStatus status, Instant now, Effects effects) {
        engineMonitor.statusRead(endpoint, askedAt, status, now, effects);
        schedule(now, effects);
    }

    /** Handles a failed read of an engine's status. */
    public void statusReadFailed(EndpointId endpoint, Instant now, Effects effects) {
        engineMonitor.statusReadFailed(endpoint, now, effects);
        schedule(now, effects);
    }

    /** Does the periodic work that is due. */
    public void tick(Instant now, Effects effects) {
        engineMonitor.tick(now, effects);
        engineMonitor.attributeCrashes(now, effects);
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

    /** Returns a report for each engine of the pool. */
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
