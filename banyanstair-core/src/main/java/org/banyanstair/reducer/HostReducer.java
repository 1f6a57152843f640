package org.banyanstair.reducer;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.banyanstair.configuration.CheckpointPart;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.configuration.ConfigurationReplica;
import org.banyanstair.external.LogEntry;
import org.banyanstair.external.LogStreams;
import org.banyanstair.idempotency.CallRecord;
import org.banyanstair.idempotency.CallTracker;
import org.banyanstair.idempotency.CallWriters;
import org.banyanstair.membership.Membership;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.PoolId;
import org.banyanstair.ownership.Ownership;
import org.banyanstair.ownership.OwnershipCoordinator;
import org.banyanstair.ownership.OwnershipRecord;
import org.banyanstair.peer.EndpointReport;
import org.banyanstair.peer.HostStatus;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.placement.CrashSuspects;
import org.banyanstair.placement.PoolContext;
import org.banyanstair.placement.PoolOwner;
import org.banyanstair.placement.SuspectRecord;
import org.banyanstair.routing.GenerationTracker;
import org.banyanstair.routing.IdempotentCallDispatcher;

/**
 * The state machine of a host: applies its events one by one and returns the effects to execute.
 *
 * <p>It reads no clock and does no I/O, so the same sequence of events always gives the same sequence of effects.
 * Not thread-safe.
 */
public final class HostReducer {
    private final Membership membership;
    private final Sequence sequence = new Sequence();
    private final Effects effects = new Effects();
    private final ConfigurationReplica configuration;
    private final OwnershipCoordinator ownership;
    private final CrashSuspects suspects = new CrashSuspects();
    private final Map<PoolId, PoolOwner> ownedPools = new HashMap<>();
    private final GenerationTracker generations;
    private final CallTracker calls;
    private final CallWriters writers;
    private final IdempotentCallDispatcher idempotentCalls;
    private final StatusCollector statuses;
    private final PoolContext poolContext;
    private final Instant startedAt;

    /** Creates the reducer of a host that has just started. */
    public HostReducer(HostIdentity self, ReducerSettings settings, Instant startedAt) {
        this.membership = new Membership(self);
        this.startedAt = startedAt;
        this.configuration = new ConfigurationReplica(membership, settings, sequence);
        this.ownership = new OwnershipCoordinator(membership, settings, sequence);
        this.generations =
                new GenerationTracker(ownership.state(), settings, membership, configuration::isLogReachable);
        this.calls = new CallTracker(membership, settings, sequence);
        this.writers = new CallWriters(membership, settings, sequence);
        this.idempotentCalls = new IdempotentCallDispatcher(membership, sequence);
        this.poolContext =
                new PoolContext(membership, settings, sequence, ownership.state(), suspects, configuration::current);
        this.statuses = new StatusCollector(membership, settings);
    }

    /** Returns the initial effects: the streams to follow. */
    public List<Effect> start() {
        configuration.start(effects);
        ownership.start(effects);
        effects.add(new Effect.FollowStream(LogStreams.SUSPECTS, 0));
        return effects.drain();
    }

    /** Applies an event and returns the resulting effects in order. */
    public List<Effect> apply(Event event) {
        if (event instanceof Event.Tick tick) {
            tick(tick.at());
        } else if (event instanceof Event.PeerMessageReceived received) {
            messageReceived(received.sender(), received.message(), received.at());
        } else if (!applyCallerEvent(event) && !applyEngineEvent(event) && !applyLogEvent(event)) {
            applyHostEvent(event);
        }
        return effects.drain();
    }

    private boolean applyCallerEvent(Event event) {
        if (event instanceof Event.GenerationArrived arrived) {
            generations.requestArrived(arrived.request(), configuration.current(), arrived.at(), effects);
        } else if (event instanceof Event.GenerationCancelled cancelled) {
            generations.requestCancelled(cancelled.request(), effects);
        } else if (event instanceof Event.AttemptEnded ended) {
            generations.attemptEnded(ended.request(), ended.attempt(), ended.outcome(), ended.at(), effects);
        } else if (event instanceof Event.CallArrived arrived) {
            callArrived(arrived.call(), arrived.at());
        } else if (event instanceof Event.DispatchEnded ended) {
            dispatchEnded(ended);
        } else {
            return false;
        }
        return true;
    }

    private void callArrived(CallRequest call, Instant now) {
        if (call.key().isPresent()) {
            calls.callArrived(call, call.key().get(), now, effects);
        } else {
            idempotentCalls.callArrived(call, now, effects);
        }
    }

    private void dispatchEnded(Event.DispatchEnded ended) {
        double retryShare = configuration.current().preset().retryShare();
        if (!idempotentCalls.dispatchEnded(ended.dispatchId(), ended.result(), retryShare, ended.at(), effects)) {
            writers.dispatchEnded(ended.dispatchId(), ended.result(), ended.at(), effects);
        }
    }

    private boolean applyEngineEvent(Event event) {
        if (event instanceof Event.LoadEnded ended) {
            withOwnerInTerm(
                    ended.endpoint(),
                    ended.term(),
                    owner -> owner.loadEnded(ended.endpoint(), ended.adapter(), ended.result(), ended.at(), effects));
        } else if (event instanceof Event.UnloadEnded ended) {
            withOwnerInTerm(
                    ended.endpoint(),
                    ended.term(),
                    owner -> owner.unloadEnded(ended.endpoint(), ended.adapter(), ended.result(), ended.at(), effects));
        } else if (event instanceof Event.FenceEnded ended) {
            withOwnerInTerm(
                    ended.endpoint(),
                    ended.term(),
                    owner -> owner.raiseFenceEnded(ended.endpoint(), ended.result(), ended.at(), effects));
        } else if (event instanceof Event.EngineStatusRead read) {
            withOwner(
                    read.endpoint(),
                    owner -> owner.statusRead(read.endpoint(), read.askedAt(), read.status(), read.at(), effects));
        } else if (event instanceof Event.EngineStatusFailed failed) {
            withOwner(failed.endpoint(), owner -> owner.statusReadFailed(failed.endpoint(), failed.at(), effects));
        } else {
            return false;
        }
        return true;
    }

    private void withOwnerInTerm(EndpointId endpoint, long term, Consumer<PoolOwner> action) {
        withOwner(endpoint, owner -> {
            if (owner.term() == term) {
                action.accept(owner);
            }
        });
    }

    private void withOwner(EndpointId endpoint, Consumer<PoolOwner> action) {
        membership
                .listing()
                .endpoint(endpoint)
                .map(entry -> ownedPools.get(entry.pool()))
                .ifPresent(action);
    }

    private boolean applyLogEvent(Event event) {
        if (event instanceof Event.StreamRead read) {
            streamRead(read);
        } else if (event instanceof Event.StreamExpired expired) {
            streamExpired(expired);
        } else if (event instanceof Event.StreamUnavailable unavailable) {
            if (unavailable.stream().equals(LogStreams.CONFIGURATION)
                    || unavailable.stream().equals(LogStreams.CHECKPOINTS)) {
                configuration.logUnavailable();
            } else if (unavailable.stream().equals(LogStreams.OWNERSHIP)) {
                ownership.markLogUnavailable();
            }
        } else if (event instanceof Event.AppendRejected rejected) {
            configuration.appendRejected(rejected.appendId(), rejected.failure(), effects);
            writers.appendRejected(rejected.appendId(), rejected.failure(), effects);
            ownedPools.values().forEach(owner -> owner.appendRejected(rejected.appendId(), rejected.at()));
        } else if (event instanceof Event.AppendEnded ended) {
            writers.appendEnded(ended.appendId());
            ownedPools.values().forEach(owner -> owner.appendEnded(ended.appendId()));
        } else {
            return false;
        }
        return true;
    }

    private void streamRead(Event.StreamRead read) {
        for (StreamEntry entry : read.entries()) {
            if (entry.entry().isEmpty()) {
                effects.report(new Notice.UndecodableRecord(read.stream(), entry.offset()));
            }
            entryRead(read.stream(), entry, read.at());
        }
        if (read.next() >= read.end()) {
            streamEndReached(read);
        }
    }

    private void entryRead(String stream, StreamEntry entry, Instant now) {
        Optional<LogEntry> value = entry.entry();
        if (stream.equals(LogStreams.CONFIGURATION)) {
            configuration.changeRead(entry.offset(), value.map(ConfigurationChange.class::cast), effects);
        } else if (value.isPresent() && value.get() instanceof CheckpointPart part) {
            configuration.checkpointRead(entry.appendedAt(), part, effects);
        } else if (value.isPresent() && value.get() instanceof OwnershipRecord record) {
            ownershipRead(entry.offset(), record, now);
        } else if (value.isPresent() && value.get() instanceof SuspectRecord record) {
            suspects.apply(record, now);
        } else if (LogStreams.isCallStream(stream)) {
            writers.read(stream, entry, value.map(CallRecord.class::cast), now, effects);
        }
    }

    private void streamEndReached(Event.StreamRead read) {
        if (read.stream().equals(LogStreams.CONFIGURATION)) {
            configuration.changeStreamEndReached(read.end());
        } else if (read.stream().equals(LogStreams.CHECKPOINTS)) {
            configuration.checkpointStreamEndReached(read.next(), effects);
        } else if (read.stream().equals(LogStreams.OWNERSHIP)) {
            boolean wasBehind = !ownership.isCaughtUp();
            ownership.markCaughtUp();
            if (wasBehind) {
                ownership.state().owners().keySet().forEach(pool -> updateOwnedPool(pool, read.at()));
            }
        }
    }

    private void streamExpired(Event.StreamExpired expired) {
        if (expired.stream().equals(LogStreams.CONFIGURATION)) {
            configuration.changesExpired(expired.earliest(), effects);
        }
    }

    private void ownershipRead(long offset, OwnershipRecord record, Instant now) {
        boolean changed = ownership.state().apply(offset, record);
        if (record instanceof OwnershipRecord.UnloadAnnouncement announcement) {
            Optional.ofNullable(ownedPools.get(announcement.pool()))
                    .ifPresent(owner -> owner.unloadAnnouncementRead(announcement, now, effects));
        } else if (changed && ownership.isCaughtUp()) {
            updateOwnedPool(poolOf(record), now);
        }
    }

    private static PoolId poolOf(OwnershipRecord record) {
        return record instanceof OwnershipRecord.Claim claim ? claim.pool() : ((OwnershipRecord.Renewal) record).pool();
    }

    /** Starts or stops acting as the owner of a pool after its ownership has changed. */
    private void updateOwnedPool(PoolId pool, Instant now) {
        Optional<Ownership> current = ownership.state().owner(pool);
        if (current.isEmpty()) {
            return;
        }
        Ownership currentOwnership = current.get();
        PoolOwner present = ownedPools.get(pool);
        if (!currentOwnership.owner().equals(membership.self())) {
            ownedPools.remove(pool);
        } else if (present == null || present.term() != currentOwnership.term()) {
            ownedPools.put(pool, new PoolOwner(pool, currentOwnership.term(), poolContext, now));
            effects.report(new Notice.PoolTaken(pool, currentOwnership.term()));
        }
        effects.report(new Notice.PoolOwned(pool, currentOwnership.owner(), currentOwnership.term()));
        generations.ownerChanged(pool, now, effects);
    }

    private void applyHostEvent(Event event) {
        if (event instanceof Event.HostListRead read) {
            membership.updateListing(read.listing());
            if (membership.isDraining()) {
                tellOthersOfLeaving();
            }
        } else if (event instanceof Event.PeerConnected connected) {
            membership.markReachable(connected.peer());
        } else if (event instanceof Event.PeerUnreachable unreachable) {
            membership.markUnreachable(unreachable.peer(), unreachable.at());
        } else if (event instanceof Event.ChangeSubmitted submitted) {
            configuration.submit(submitted.change(), submitted.at(), effects);
        } else if (event instanceof Event.VerdictQueried queried) {
            effects.add(new Effect.AnswerVerdict(
                    queried.query(), configuration.stateMachine().verdict(queried.changeId())));
        } else if (event instanceof Event.StatusQueried queried) {
            statuses.query(queried.query(), queried.at(), effects);
        } else if (event instanceof Event.DrainRequested requested) {
            effects.send(requested.host(), new PeerMessage.DrainRequest());
        } else if (event instanceof Event.DrainStarted) {
            membership.startDraining();
            tellOthersOfLeaving();
        }
    }

    /** Repeated with each reading of the host list, for hosts that are new in it and for lost messages. */
    private void tellOthersOfLeaving() {
        membership.otherHosts().forEach(peer -> effects.send(peer, new PeerMessage.HostLeaving(membership.self())));
    }

    private void messageReceived(HostIdentity sender, PeerMessage message, Instant now) {
        membership.markReachable(sender);
        HostId peer = sender.host();
        if (message instanceof PeerMessage.PermitRequest request) {
            Optional<PoolOwner> owner = Optional.ofNullable(ownedPools.get(request.pool()));
            owner.ifPresentOrElse(
                    present -> present.permitRequested(sender, request, now, effects),
                    () -> replyNotOwner(peer, request));
        } else if (message instanceof PeerMessage.PermitRelease release) {
            Optional.ofNullable(ownedPools.get(release.pool()))
                    .ifPresent(owner -> owner.permitReleased(release, now, effects));
        } else if (message instanceof PeerMessage.InventoryReply reply) {
            Optional.ofNullable(ownedPools.get(reply.pool()))
                    .ifPresent(owner -> owner.inventoryReceived(sender, reply, now, effects));
        } else if (!permitMessageReceived(sender, message, now) && !callMessageReceived(sender, message, now)) {
            hostMessageReceived(sender, message, now);
        }
    }

    private void replyNotOwner(HostId peer, PeerMessage.PermitRequest request) {
        long knownTerm =
                ownership.state().owner(request.pool()).map(Ownership::term).orElse(-1L);
        effects.send(peer, new PeerMessage.NotOwner(request.request(), request.attempt(), request.pool(), knownTerm));
    }

    private boolean permitMessageReceived(HostIdentity sender, PeerMessage message, Instant now) {
        if (message instanceof PeerMessage.PermitGrant grant) {
            generations.permitGranted(sender.host(), grant, effects);
        } else if (message instanceof PeerMessage.PermitRefusal refusal) {
            generations.permitRefused(refusal, effects);
        } else if (message instanceof PeerMessage.NotOwner notOwner) {
            generations.notOwnerReceived(notOwner, now);
        } else if (message instanceof PeerMessage.InventoryRequest request) {
            updateOwnership(request.pool(), new Ownership(sender, request.term()), now);
            generations.inventoryRequested(sender.host(), request, effects);
        } else {
            return false;
        }
        return true;
    }

    private boolean callMessageReceived(HostIdentity sender, PeerMessage message, Instant now) {
        if (message instanceof PeerMessage.CallSubmit submit) {
            writers.submit(sender.host(), submit, now, effects);
        } else if (message instanceof PeerMessage.CallOutcome outcome) {
            calls.outcomeReceived(sender, outcome, now, effects);
        } else {
            return false;
        }
        return true;
    }

    private void hostMessageReceived(HostIdentity sender, PeerMessage message, Instant now) {
        HostId peer = sender.host();
        if (message instanceof PeerMessage.ConfigurationRequest request) {
            configuration.answerRequest(peer, request, ownership.state().owners(), effects);
        } else if (message instanceof PeerMessage.ConfigurationReply reply) {
            configuration.replyReceived(reply.part(), effects);
            reply.owners().forEach((pool, owner) -> updateOwnership(pool, owner, now));
        } else if (message instanceof PeerMessage.StatusRequest request) {
            effects.send(peer, new PeerMessage.StatusReply(request.query(), status(), endpointReports()));
        } else if (message instanceof PeerMessage.StatusReply reply) {
            statuses.replyReceived(peer, reply, effects);
        } else if (message instanceof PeerMessage.HostLeaving leaving) {
            membership.markLeaving(leaving.host());
        } else if (message instanceof PeerMessage.DrainRequest) {
            effects.add(new Effect.BeginDrain(now));
        }
    }

    private void updateOwnership(PoolId pool, Ownership owner, Instant now) {
        if (ownership.state().updateFromPeer(pool, owner)) {
            updateOwnedPool(pool, now);
        }
    }

    private void tick(Instant now) {
        configuration.tick(now, effects);
        ownership.tick(now, effects);
        ownedPools.values().forEach(owner -> owner.tick(now, effects));
        generations.tick(now, effects);
        calls.tick(now, effects);
        writers.tick(now, effects);
        statuses.tick(now, effects);
    }

    private List<EndpointReport> endpointReports() {
        return ownedPools.values().stream()
                .flatMap(owner -> owner.endpointReports().stream())
                .toList();
    }

    /** Returns the status of this host. */
    public HostStatus status() {
        return new HostStatus(
                membership.self(),
                isReady(),
                membership.isDraining(),
                configuration.current().version(),
                configuration.current().presetInForce(),
                List.copyOf(ownedPools.keySet()),
                inFlight(),
                configuration.isLogReachable(),
                startedAt);
    }

    /**
     * Returns whether this host can serve requests.
     *
     * @return true once the configuration is known and the host list has shown this host
     */
    public boolean isReady() {
        return configuration.stateMachine().isInitialized() && membership.wasListed();
    }

    /**
     * Returns the number of in-flight requests, which must end before this host may stop.
     *
     * @return requests of callers and dispatches; all non-idempotent calls that this host writes count as one
     */
    public int inFlight() {
        return generations.inFlight() + calls.inFlight() + idempotentCalls.inFlight() + (writers.isBusy() ? 1 : 0);
    }

    /** Returns whether this host owns no pool, so that no host needs it for new permits. */
    public boolean ownsNoPool() {
        return ownedPools.isEmpty();
    }

    /** Returns the hosts and endpoints that this host knows; read-only. */
    public Membership membership() {
        return membership;
    }

    /** Returns this host's replica of the configuration; read-only. */
    public ConfigurationReplica configuration() {
        return configuration;
    }
}
