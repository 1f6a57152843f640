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
    private static final String CHECKPOINT_WRITER = "configuration-checkpoint";

    /** Checkpoints are renewed often enough that one is always in the log. */
    private static final int CHECKPOINTS_PER_RETENTION = 3;

    private final Membership membership;
    private final ReducerSettings settings;
    private final Sequence sequence;
    private final ConfigurationStateMachine history = new ConfigurationStateMachine();
    private final Map<String, PendingChange> pending = new HashMap<>();
    private boolean checkpointsRead;
    private boolean followsCheckpoints;
    private boolean checkpointsAtEnd;
    private long nextCheckpointOffset;
    private boolean following;
    private boolean logReachable;
    private Optional<Instant> lastCheckpoint = Optional.empty();
    private Instant nextCheckpoint = Instant.MIN;
    private Instant nextPeerRequest = Instant.MIN;
    private long earliestInLog;

    private record PendingChange(long appendId, Instant giveUpAt) {}

    /** Creates a replica without a configuration. */
    public ConfigurationReplica(Membership membership, ReducerSettings settings, Sequence sequence) {
        this.membership = membership;
        this.settings = settings;
        this.sequence = sequence;
    }

    /** Returns the state machine of the configuration stream; read-only. */
    public ConfigurationStateMachine history() {
        return history;
    }

    /** Returns the configuration in force. */
    public Configuration current() {
        return history.current();
    }

    /** Returns whether the last read of the configuration stream succeeded. */
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
            lastCheckpoint = Optional.of(appendedAt);
        }
        offer(part, effects);
    }

    private void offer(CheckpointPart part, Effects effects) {
        if (history.offer(part)) {
            effects.report(new Notice.ConfigurationInForce(current().version()));
            follow(effects);
        }
    }

    /**
     * Handles the event that the checkpoint stream was read up to its end.
     *
     * @param next offset of the next checkpoint part
     */
    public void checkpointsEnded(long next, Effects effects) {
        logReachable = true;
        checkpointsAtEnd = true;
        nextCheckpointOffset = next;
        if (!checkpointsRead) {
            checkpointsRead = true;
            follow(effects);
        }
    }

    private void follow(Effects effects) {
        following = true;
        effects.add(new Effect.FollowStream(LogStreams.CONFIGURATION, Math.max(0, history.nextOffset())));
    }

    /**
     * Handles a record of the configuration stream.
     *
     * @param change the change, empty if it could not be decoded
     */
    public void changeRead(long offset, Optional<ConfigurationChange> change, Effects effects) {
        if (!history.isKnown() && offset == 0) {
            history.startEmpty();
        }
        if (change.isEmpty()) {
            history.skip(offset);
            return;
        }
        long before = current().version();
        Optional<ChangeVerdict> verdict = history.apply(offset, change.get());
        if (current().version() != before) {
            effects.report(new Notice.ConfigurationInForce(current().version()));
        }
        verdict.ifPresent(value -> settle(change.get().changeId(), value, effects));
    }

    private void settle(String changeId, ChangeVerdict verdict, Effects effects) {
        if (pending.remove(changeId) != null) {
            effects.add(new Effect.AnswerChange(changeId, verdict));
        }
    }

    /**
     * Handles the event that the configuration stream was read up to its end.
     *
     * @param end offset that the next change will get
     */
    public void changesEnded(long end) {
        logReachable = true;
        if (end == 0) {
            history.startEmpty();
        }
    }

    /**
     * Handles the event that changes expired before this host read them.
     *
     * @param earliest lowest offset that can still be read
     */
    public void changesExpired(long earliest, Effects effects) {
        effects.report(new Notice.ConfigurationGap(history.nextOffset(), earliest));
        earliestInLog = earliest;
        nextPeerRequest = Instant.MIN;
    }

    /** Handles the event that the log cannot be read. */
    public void logUnavailable() {
        logReachable = false;
    }

    /** Submits a change of an operator. */
    public void submit(ConfigurationChange change, Instant now, Effects effects) {
        Optional<ChangeVerdict> known = history.verdict(change.changeId());
        if (known.isPresent()) {
            effects.add(new Effect.AnswerChange(change.changeId(), known.get()));
        } else if (!history.isKnown()) {
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
        long append = sequence.next();
        pending.put(change.changeId(), new PendingChange(append, now.plus(settings.changeTimeout())));
        effects.add(new Effect.AppendToLog(append, LogStreams.CONFIGURATION, List.of(change)));
    }

    private static void refuse(ConfigurationChange change, Failure failure, Effects effects) {
        effects.add(new Effect.AnswerChange(change.changeId(), new ChangeVerdict.Refused(failure)));
    }

    /** Handles an append that the log rejected. */
    public void appendRejected(long append, Failure failure, Effects effects) {
        Iterator<Map.Entry<String, PendingChange>> iterator = pending.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<String, PendingChange> entry = iterator.next();
            if (entry.getValue().appendId() == append) {
                iterator.remove();
                effects.add(new Effect.AnswerChange(entry.getKey(), new ChangeVerdict.Refused(failure)));
            }
        }
    }

    /** Answers a peer that may have applied less. */
    public void answer(
            HostId peer,
            PeerMessage.ConfigurationRequest request,
            Map<org.banyanstair.model.PoolId, org.banyanstair.ownership.Ownership> owners,
            Effects effects) {
        if (history.isKnown() && history.nextOffset() > request.nextOffset()) {
            CheckpointPart.of(current(), history.nextOffset())
                    .forEach(part -> effects.send(peer, new PeerMessage.ConfigurationReply(part, owners)));
        }
    }

    /** Takes a part of a peer's configuration. */
    public void peerReplied(CheckpointPart part, Effects effects) {
        offer(part, effects);
    }

    /** Asks peers, writes checkpoints and ends changes without a verdict, when due. */
    public void tick(Instant now, Effects effects) {
        giveUp(now, effects);
        // Expired changes can only be recovered from checkpoints and from peers.
        boolean missesChanges = history.nextOffset() < earliestInLog;
        if (missesChanges && !followsCheckpoints) {
            followCheckpoints(effects);
        }
        boolean needsPeers = !logReachable || !history.isKnown() || !following || missesChanges;
        if (needsPeers && !now.isBefore(nextPeerRequest)) {
            nextPeerRequest = now.plus(settings.retryInterval());
            askPeers(now, effects);
        }
        if (!now.isBefore(nextCheckpoint)) {
            nextCheckpoint = now.plus(checkpointCheckInterval());
            maintainCheckpoints(missesChanges, now, effects);
        }
    }

    private void giveUp(Instant now, Effects effects) {
        for (String changeId : new ArrayList<>(pending.keySet())) {
            if (!now.isBefore(pending.get(changeId).giveUpAt())) {
                settle(changeId, new ChangeVerdict.Refused(new Failure.ChangeOutcomeUnknown(changeId)), effects);
            }
        }
    }

    /** A host without a configuration asks all peers; one that only cannot read the log asks one peer at a time. */
    private void askPeers(Instant now, Effects effects) {
        List<HostId> others = membership.otherHosts();
        List<HostId> asked = others;
        if (history.isKnown() && !others.isEmpty()) {
            asked = List.of(others.get((int) Math.floorMod(now.getEpochSecond(), (long) others.size())));
        }
        asked.forEach(peer -> effects.send(peer, new PeerMessage.ConfigurationRequest(history.nextOffset())));
    }

    /** Short enough to renew checkpoints in time, and long enough to read back the previous append. */
    private Duration checkpointCheckInterval() {
        Duration usual = settings.retryInterval().multipliedBy(10);
        Duration halfRenewal = settings.logRetention().dividedBy(2L * CHECKPOINTS_PER_RETENTION);
        return halfRenewal.compareTo(usual) < 0 ? halfRenewal : usual;
    }

    /** Checkpoints are large, so only the host that writes them and hosts that miss changes keep reading them. */
    private void maintainCheckpoints(boolean missesChanges, Instant now, Effects effects) {
        boolean responsible = RendezvousHash.first(CHECKPOINT_WRITER, membership.availableHosts())
                .filter(membership.self().host()::equals)
                .isPresent();
        boolean needed = responsible || missesChanges || !history.isKnown();
        if (needed && !followsCheckpoints) {
            followCheckpoints(effects);
        } else if (!needed && followsCheckpoints && checkpointsAtEnd) {
            followsCheckpoints = false;
            effects.add(new Effect.UnfollowStream(LogStreams.CHECKPOINTS));
        } else if (responsible && checkpointsAtEnd) {
            writeCheckpointIfDue(now, effects);
        }
    }

    private void writeCheckpointIfDue(Instant now, Effects effects) {
        boolean due = lastCheckpoint
                .map(at -> at.plus(settings.logRetention().dividedBy(CHECKPOINTS_PER_RETENTION)))
                .map(at -> !now.isBefore(at))
                .orElse(current().version() >= 0);
        if (due && logReachable && history.isKnown()) {
            CheckpointPart.of(current(), history.nextOffset())
                    .forEach(part -> effects.add(
                            new Effect.AppendToLog(sequence.next(), LogStreams.CHECKPOINTS, List.<LogEntry>of(part))));
        }
    }
}
