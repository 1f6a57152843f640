package org.banyanstair.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.LogEntry;
import org.banyanstair.external.LogStreams;
import org.banyanstair.membership.Membership;
import org.banyanstair.model.HostId;
import org.banyanstair.ownership.RendezvousHash;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.Notice;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.reducer.Sequence;

/**
 * Replica of the configuration on one host: follows the log, catches up from checkpoints and peers, writes checkpoints,
 * and submits operators' changes.
 *
 * <p>Not thread-safe.
 */
public final class ConfigurationReplica {
    private static final String CHECKPOINT_WRITER_KEY = "configuration-checkpoint";

    /** Checkpoints are renewed often enough that one is always in the log. */
    private static final int CHECKPOINTS_PER_RETENTION = 3;

    private final Membership membership;
    private final ReducerSettings settings;
    private final Sequence sequence;
    private final ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
    private final Map<String, PendingChange> pending = new HashMap<>();
    private boolean initialCheckpointsRead;
    private boolean followsCheckpoints;
    private boolean checkpointsAtEnd;
    private long nextCheckpointOffset;
    private boolean followsChanges;
    private boolean logReachable;
    private Optional<Instant> lastCheckpointAt = Optional.empty();
    private Instant nextCheckpointCheck = Instant.MIN;
    private Instant nextPeerRequest = Instant.MIN;
    private long earliestLogOffset;

    private record PendingChange(long appendId, Instant deadline) {}

    /** Creates a replica without a configuration. */
    public ConfigurationReplica(Membership membership, ReducerSettings settings, Sequence sequence) {
        this.membership = membership;
        this.settings = settings;
        this.sequence = sequence;
    }

    /** Returns the state machine of the configuration stream; read-only. */
    public ConfigurationStateMachine stateMachine() {
        return stateMachine;
    }

    /** Returns the configuration in force. */
    public Configuration current() {
        return stateMachine.current();
    }

    /** Returns whether the last read of the configuration or the checkpoint stream succeeded. */
    public boolean isLogReachable() {
        return logReachable;
    }

    /** Starts to read the checkpoints. */
    public void start(Effects effects) {
        followCheckpoints(effects);
    }

    private void followCheckpoints(Effects effects) {
        followsCheckpoints = true;
        checkpointsAtEnd = false;
        effects.add(new Effect.FollowStream(LogStreams.CHECKPOINTS, nextCheckpointOffset));
    }

    /** Handles a record of the checkpoint stream. */
    public void checkpointRead(Instant appendedAt, CheckpointPart part, Effects effects) {
        if (part.part() == part.parts() - 1) {
            lastCheckpointAt = Optional.of(appendedAt);
        }
        applyCheckpointPart(part, effects);
    }

    private void applyCheckpointPart(CheckpointPart part, Effects effects) {
        if (stateMachine.applyCheckpointPart(part)) {
            effects.report(new Notice.ConfigurationInForce(current().version()));
            followChanges(effects);
        }
    }

    /**
     * Handles the event that the checkpoint stream was read up to its end.
     *
     * @param next offset of the next checkpoint part
     */
    public void checkpointStreamEndReached(long next, Effects effects) {
        logReachable = true;
        checkpointsAtEnd = true;
        nextCheckpointOffset = next;
        if (!initialCheckpointsRead) {
            initialCheckpointsRead = true;
            followChanges(effects);
        }
    }

    private void followChanges(Effects effects) {
        followsChanges = true;
        effects.add(new Effect.FollowStream(LogStreams.CONFIGURATION, Math.max(0, stateMachine.nextOffset())));
    }

    /**
     * Handles a record of the configuration stream.
     *
     * @param change the change, empty if it could not be decoded
     */
    public void changeRead(long offset, Optional<ConfigurationChange> change, Effects effects) {
        if (!stateMachine.isInitialized() && offset == 0) {
            stateMachine.initializeEmpty();
        }
        if (change.isEmpty()) {
            stateMachine.skip(offset);
            return;
        }
        long before = current().version();
        Optional<ChangeVerdict> verdict = stateMachine.apply(offset, change.get());
        if (current().version() != before) {
            effects.report(new Notice.ConfigurationInForce(current().version()));
        }
        verdict.ifPresent(value -> answerPending(change.get().changeId(), value, effects));
    }

    private void answerPending(String changeId, ChangeVerdict verdict, Effects effects) {
        if (pending.remove(changeId) != null) {
            effects.add(new Effect.AnswerChange(changeId, verdict));
        }
    }

    /**
     * Handles the event that the configuration stream was read up to its end.
     *
     * @param end offset that the next change will get
     */
    public void changeStreamEndReached(long end) {
        logReachable = true;
        if (end == 0) {
            stateMachine.initializeEmpty();
        }
    }

    /**
     * Handles the event that changes expired before this host read them.
     *
     * @param earliest lowest offset that can still be read
     */
    public void changesExpired(long earliest, Effects effects) {
        effects.report(new Notice.ConfigurationGap(stateMachine.nextOffset(), earliest));
        earliestLogOffset = earliest;
        nextPeerRequest = Instant.MIN;
    }

    /** Handles the event that the log cannot be read. */
    public void logUnavailable() {
        logReachable = false;
    }

    /** Submits a change of an operator. */
    public void submit(ConfigurationChange change, Instant now, Effects effects) {
        Optional<ChangeVerdict> known = stateMachine.verdict(change.changeId());
        if (known.isPresent()) {
            effects.add(new Effect.AnswerChange(change.changeId(), known.get()));
        } else if (!stateMachine.isInitialized()) {
            refuse(change, new Failure.NotReady(membership.self().host()), effects);
        } else if (change.baseVersion() < current().version()) {
            // Versions only grow, so the log would decide the same.
            refuse(
                    change,
                    new Failure.ConfigurationConflict(
                            change.baseVersion(), current().version()),
                    effects);
        } else {
            append(change, now, effects);
        }
    }

    private void append(ConfigurationChange change, Instant now, Effects effects) {
        long appendId = sequence.next();
        pending.put(change.changeId(), new PendingChange(appendId, now.plus(settings.changeTimeout())));
        effects.add(new Effect.AppendToLog(appendId, LogStreams.CONFIGURATION, List.of(change)));
    }

    private static void refuse(ConfigurationChange change, Failure failure, Effects effects) {
        effects.add(new Effect.AnswerChange(change.changeId(), new ChangeVerdict.Refused(failure)));
    }

    /** Handles an append that the log rejected. */
    public void appendRejected(long appendId, Failure failure, Effects effects) {
        Iterator<Map.Entry<String, PendingChange>> iterator = pending.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<String, PendingChange> entry = iterator.next();
            if (entry.getValue().appendId() == appendId) {
                iterator.remove();
                effects.add(new Effect.AnswerChange(entry.getKey(), new ChangeVerdict.Refused(failure)));
            }
        }
    }

    /** Answers a peer that may have applied less. */
    public void answerRequest(
            HostId peer,
            PeerMessage.ConfigurationRequest request,
            Map<org.banyanstair.model.PoolId, org.banyanstair.ownership.Ownership> owners,
            Effects effects) {
        if (stateMachine.isInitialized() && stateMachine.nextOffset() > request.nextOffset()) {
            CheckpointPart.of(current(), stateMachine.nextOffset())
                    .forEach(part -> effects.send(peer, new PeerMessage.ConfigurationReply(part, owners)));
        }
    }

    /** Takes a part of a peer's configuration. */
    public void replyReceived(CheckpointPart part, Effects effects) {
        applyCheckpointPart(part, effects);
    }

    /** Asks peers, writes checkpoints and ends changes without a verdict, when due. */
    public void tick(Instant now, Effects effects) {
        expirePending(now, effects);
        // Expired changes can only be recovered from checkpoints and from peers.
        boolean missesChanges = stateMachine.nextOffset() < earliestLogOffset;
        if (missesChanges && !followsCheckpoints) {
            followCheckpoints(effects);
        }
        boolean needsPeers = !logReachable || !stateMachine.isInitialized() || !followsChanges || missesChanges;
        if (needsPeers && !now.isBefore(nextPeerRequest)) {
            nextPeerRequest = now.plus(settings.retryInterval());
            requestFromPeers(now, effects);
        }
        if (!now.isBefore(nextCheckpointCheck)) {
            nextCheckpointCheck = now.plus(checkpointCheckInterval());
            maintainCheckpoints(missesChanges, now, effects);
        }
    }

    private void expirePending(Instant now, Effects effects) {
        for (String changeId : new ArrayList<>(pending.keySet())) {
            if (!now.isBefore(pending.get(changeId).deadline())) {
                answerPending(changeId, new ChangeVerdict.Refused(new Failure.ChangeOutcomeUnknown(changeId)), effects);
            }
        }
    }

    /** A host without a configuration asks all peers; one that only cannot read the log asks one peer at a time. */
    private void requestFromPeers(Instant now, Effects effects) {
        List<HostId> others = membership.otherHosts();
        List<HostId> peers = others;
        if (stateMachine.isInitialized() && !others.isEmpty()) {
            peers = List.of(others.get((int) Math.floorMod(now.getEpochSecond(), (long) others.size())));
        }
        peers.forEach(peer -> effects.send(peer, new PeerMessage.ConfigurationRequest(stateMachine.nextOffset())));
    }

    /** Short enough to renew checkpoints in time, and long enough to read back the previous append. */
    private Duration checkpointCheckInterval() {
        Duration defaultInterval = settings.retryInterval().multipliedBy(10);
        Duration halfRenewal = settings.logRetention().dividedBy(2L * CHECKPOINTS_PER_RETENTION);
        return halfRenewal.compareTo(defaultInterval) < 0 ? halfRenewal : defaultInterval;
    }

    /** Checkpoints are large, so only the host that writes them and hosts that miss changes keep reading them. */
    private void maintainCheckpoints(boolean missesChanges, Instant now, Effects effects) {
        boolean isWriter = RendezvousHash.first(CHECKPOINT_WRITER_KEY, membership.availableHosts())
                .filter(membership.self().host()::equals)
                .isPresent();
        boolean needed = isWriter || missesChanges || !stateMachine.isInitialized();
        if (needed && !followsCheckpoints) {
            followCheckpoints(effects);
        } else if (!needed && followsCheckpoints && checkpointsAtEnd) {
            followsCheckpoints = false;
            effects.add(new Effect.UnfollowStream(LogStreams.CHECKPOINTS));
        } else if (isWriter && checkpointsAtEnd) {
            writeCheckpointIfDue(now, effects);
        }
    }

    private void writeCheckpointIfDue(Instant now, Effects effects) {
        boolean due = lastCheckpointAt
                .map(at -> at.plus(settings.logRetention().dividedBy(CHECKPOINTS_PER_RETENTION)))
                .map(at -> !now.isBefore(at))
                .orElse(current().version() >= 0);
        if (due && logReachable && stateMachine.isInitialized()) {
            CheckpointPart.of(current(), stateMachine.nextOffset())
                    .forEach(part -> effects.add(
                            new Effect.AppendToLog(sequence.next(), LogStreams.CHECKPOINTS, List.<LogEntry>of(part))));
        }
    }
}
