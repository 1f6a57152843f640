package org.banyanstair.routing;

import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.banyanstair.configuration.Configuration;
import org.banyanstair.errors.Failure;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.Membership;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.RequestId;
import org.banyanstair.ownership.Ownership;
import org.banyanstair.ownership.OwnershipState;
import org.banyanstair.peer.AttemptOutcome;
import org.banyanstair.peer.HeldPermit;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.GenerationRequest;
import org.banyanstair.reducer.ReducerSettings;

/**
 * Runs the generation requests of an entry host: requests permits from pool owners, starts attempts, retries them, and
 * releases the permits.
 *
 * <p>A grant is used only if its term and sequence number are not older than the newest known to this host. Not
 * thread-safe.
 */
public final class GenerationTracker {
    private final OwnershipState owners;
    private final ReducerSettings settings;
    private final LastKnownPlacements placements;
    private final BooleanSupplier logReachable;
    private final Map<RequestId, TrackedRequest> requests = new LinkedHashMap<>();
    private final Map<PoolId, GrantFence> grantFences = new LinkedHashMap<>();

    /** Fencing token of a pool; older grants are rejected. */
    private record GrantFence(long term, long sequence) {
        boolean rejects(PeerMessage.PermitGrant grant) {
            return grant.term() < term || grant.term() == term && grant.sequence() < sequence;
        }

        /** Inventory requests may arrive out of order, so an older one must not lower the fence. */
        private GrantFence max(GrantFence other) {
            boolean newer = other.term > term || other.term == term && other.sequence > sequence;
            return newer ? other : this;
        }
    }

    /** A caller's request and the state of its current attempt. */
    private static final class TrackedRequest {
        private final GenerationRequest request;
        private final Set<EndpointId> tried = new HashSet<>();
        private int attempt = 1;
        private boolean hasRun;
        private Optional<Endpoint> runningOn = Optional.empty();
        private Instant nextPermitRequestAt = Instant.MIN;
        private Optional<Ownership> askedOwner = Optional.empty();

        TrackedRequest(GenerationRequest request) {
            this.request = request;
        }

        PoolId pool() {
            return request.service().pool();
        }
    }

    /**
     * Creates a tracker without requests.
     *
     * @param logReachable whether the log is reachable, without which no host can become the owner of a pool
     */
    public GenerationTracker(
            OwnershipState owners, ReducerSettings settings, Membership membership, BooleanSupplier logReachable) {
        this.owners = owners;
        this.settings = settings;
        this.placements = new LastKnownPlacements(membership, owners);
        this.logReachable = logReachable;
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return requests.size();
    }

    /** Handles a request from a caller. */
    public void requestArrived(GenerationRequest request, Configuration configuration, Instant now, Effects effects) {
        if (!configuration.preset().admitsRequests()) {
            effects.add(new Effect.FailGeneration(
                    request.id(), new Failure.InMaintenance(request.service().id())));
            return;
        }
        TrackedRequest tracked = new TrackedRequest(request);
        requests.put(request.id(), tracked);
        requestPermit(tracked, now, effects);
    }

    private void requestPermit(TrackedRequest tracked, Instant now, Effects effects) {
        tracked.nextPermitRequestAt = now.plus(settings.retryInterval());
        if (!logReachable.getAsBoolean()) {
            Optional<Endpoint> lastKnown = placements
                    .findWithoutOwner(tracked.pool(), tracked.request.adapter())
                    .filter(endpoint -> !tracked.tried.contains(endpoint.id()));
            if (lastKnown.isPresent()) {
                startAttempt(tracked, lastKnown.get(), 0, effects);
                return;
            }
        }
        tracked.askedOwner = owners.owner(tracked.pool());
        tracked.askedOwner.ifPresent(ownership -> effects.send(ownership.owner().host(), permitRequest(tracked)));
    }

    private static PeerMessage.PermitRequest permitRequest(TrackedRequest tracked) {
        GenerationRequest request = tracked.request;
        return new PeerMessage.PermitRequest(
                request.id(),
                tracked.attempt,
                tracked.pool(),
                request.adapter(),
                request.caller(),
                request.service().callerLimit(),
                request.service().queueLimit(),
                request.priority(),
                request.deadline(),
                request.prefix(),
                request.fingerprint(),
                request.parts(),
                tracked.tried);
    }

    /** Handles a permit grant: starts the attempt, or releases the permit if the request no longer needs it. */
    public void permitGranted(HostId sender, PeerMessage.PermitGrant grant, Effects effects) {
        TrackedRequest tracked = requests.get(grant.request());
        boolean expected = tracked != null && tracked.attempt == grant.attempt();
        if (expected && tracked.runningOn.filter(grant.endpoint()::equals).isPresent()) {
            return;
        }
        if (!expected) {
            effects.send(
                    sender,
                    new PeerMessage.PermitRelease(
                            grant.request(), grant.attempt(), grant.pool(), new AttemptOutcome.Cancelled()));
            return;
        }
        // No release is sent for a stale grant, because it could arrive after a later grant of the same attempt and
        // release that one. The inventory and the repeated permit request update the owner.
        if (isStale(grant) || tracked.runningOn.isPresent()) {
            return;
        }
        startAttempt(tracked, grant.endpoint(), grant.loadStallMilliseconds(), effects);
    }

    private void startAttempt(TrackedRequest tracked, Endpoint endpoint, long loadStallMilliseconds, Effects effects) {
        tracked.runningOn = Optional.of(endpoint);
        placements.record(tracked.request.adapter(), endpoint.id());
        effects.add(new Effect.StartAttempt(tracked.request.id(), tracked.attempt, endpoint, loadStallMilliseconds));
    }

    private boolean isStale(PeerMessage.PermitGrant grant) {
        long knownTerm = owners.owner(grant.pool()).map(Ownership::term).orElse(Long.MIN_VALUE);
        GrantFence fence = grantFences.get(grant.pool());
        return grant.term() < knownTerm || fence != null && fence.rejects(grant);
    }

    /** Handles a permit refusal. */
    public void permitRefused(PeerMessage.PermitRefusal refusal, Effects effects) {
        TrackedRequest tracked = requests.get(refusal.request());
        long knownTerm = owners.owner(refusal.pool()).map(Ownership::term).orElse(Long.MIN_VALUE);
        boolean current = tracked != null
                && tracked.attempt == refusal.attempt()
                && tracked.runningOn.isEmpty()
                && refusal.term() >= knownTerm;
        if (current) {
            requests.remove(refusal.request());
            fail(tracked, refusal.failure(), effects);
        }
    }

    /** Reports a failure; once an attempt may have run, it must not be reported as "not run". */
    private static void fail(TrackedRequest tracked, Failure failure, Effects effects) {
        Failure reported = failure;
        if (tracked.hasRun && failure instanceof Failure.RequestCrashesEndpoints crashes) {
            reported = new Failure.RequestCrashesEndpoints(crashes.crashes(), true);
        } else if (tracked.hasRun) {
            reported = new Failure.OutcomeUnknown();
        }
        effects.add(new Effect.FailGeneration(tracked.request.id(), reported));
    }

    /** Handles the answer of a host that does not own the pool: the permit request is repeated soon. */
    public void notOwnerReceived(PeerMessage.NotOwner message, Instant now) {
        TrackedRequest tracked = requests.get(message.request());
        if (tracked != null && tracked.runningOn.isEmpty()) {
            tracked.nextPermitRequestAt = now.plus(settings.retryInterval().dividedBy(5));
        }
    }

    /** Handles the end of an attempt. */
    public void attemptEnded(RequestId id, int attempt, AttemptOutcome outcome, Instant now, Effects effects) {
        TrackedRequest tracked = requests.get(id);
        if (tracked == null || tracked.attempt != attempt || tracked.runningOn.isEmpty()) {
            return;
        }
        release(tracked, outcome, effects);
        EndpointId endpoint = tracked.runningOn.get().id();
        tracked.runningOn = Optional.empty();
        if (outcome instanceof AttemptOutcome.Completed) {
            requests.remove(id);
            effects.add(new Effect.CompleteGeneration(id));
        } else if (outcome instanceof AttemptOutcome.Cancelled) {
            requests.remove(id);
            effects.add(new Effect.FailGeneration(id, new Failure.Cancelled()));
        } else {
            tracked.hasRun |= outcome instanceof AttemptOutcome.Broken;
            retry(tracked, endpoint, outcome, now, effects);
        }
    }

    private void retry(
            TrackedRequest tracked, EndpointId endpoint, AttemptOutcome outcome, Instant now, Effects effects) {
        boolean adapterMissing = outcome instanceof AttemptOutcome.NotStarted notStarted
                && notStarted.failure() instanceof Failure.AdapterNotLoaded;
        if (adapterMissing) {
            placements.remove(tracked.request.adapter(), endpoint);
        } else {
            tracked.tried.add(endpoint);
        }
        tracked.attempt++;
        requestPermit(tracked, now, effects);
    }

    private void release(TrackedRequest tracked, AttemptOutcome outcome, Effects effects) {
        owners.owner(tracked.pool())
                .ifPresent(ownership -> effects.send(
                        ownership.owner().host(),
                        new PeerMessage.PermitRelease(tracked.request.id(), tracked.attempt, tracked.pool(), outcome)));
    }

    /** Cancels a request whose caller has disconnected. */
    public void requestCancelled(RequestId id, Effects effects) {
        TrackedRequest tracked = requests.remove(id);
        if (tracked != null) {
            cancel(tracked, effects);
        }
    }

    private void cancel(TrackedRequest tracked, Effects effects) {
        if (tracked.runningOn.isPresent()) {
            effects.add(new Effect.CancelAttempt(tracked.request.id(), tracked.attempt));
        }
        release(tracked, new AttemptOutcome.Cancelled(), effects);
    }

    /** Answers an inventory request with the permits that this host holds. */
    public void inventoryRequested(HostId owner, PeerMessage.InventoryRequest request, Effects effects) {
        GrantFence fence = grantFences.get(request.pool());
        long knownTerm = owners.owner(request.pool()).map(Ownership::term).orElse(Long.MIN_VALUE);
        if (request.term() < knownTerm || fence != null && request.term() < fence.term()) {
            return;
        }
        grantFences.merge(request.pool(), new GrantFence(request.term(), request.sequence()), GrantFence::max);
        List<HeldPermit> permits = requests.values().stream()
                .filter(tracked -> tracked.pool().equals(request.pool()))
                .filter(tracked -> tracked.runningOn.isPresent())
                .map(tracked -> new HeldPermit(
                        tracked.request.id(),
                        tracked.attempt,
                        tracked.runningOn.get().id(),
                        tracked.request.adapter(),
                        tracked.request.fingerprint(),
                        tracked.request.parts()))
                .toList();
        effects.send(
                owner, new PeerMessage.InventoryReply(request.pool(), request.term(), request.sequence(), permits));
    }

    /** Requests the missing permits of a pool from its new owner. */
    public void ownerChanged(PoolId pool, Instant now, Effects effects) {
        requests.values().stream()
                .filter(tracked -> tracked.runningOn.isEmpty() && tracked.pool().equals(pool))
                .forEach(tracked -> requestPermit(tracked, now, effects));
    }

    /** Repeats unanswered permit requests and fails requests whose deadline has passed. */
    public void tick(Instant now, Effects effects) {
        for (TrackedRequest tracked : List.copyOf(requests.values())) {
            if (!now.isBefore(tracked.request.deadline())) {
                requests.remove(tracked.request.id());
                failExpired(tracked, effects);
            } else if (tracked.runningOn.isEmpty() && !now.isBefore(tracked.nextPermitRequestAt)) {
                requestPermit(tracked, now, effects);
            }
        }
    }

    private static Failure expiryFailure(TrackedRequest tracked) {
        Instant deadline = tracked.request.deadline();
        if (tracked.runningOn.isPresent() || tracked.hasRun) {
            return new Failure.DeadlineExceeded(deadline);
        }
        return tracked.askedOwner.isPresent()
                ? new Failure.DeadlinePassed(deadline)
                : new Failure.OwnerUnavailable(tracked.pool());
    }

    private void failExpired(TrackedRequest tracked, Effects effects) {
        Failure failure = expiryFailure(tracked);
        cancel(tracked, effects);
        effects.add(new Effect.FailGeneration(tracked.request.id(), failure));
    }
}
