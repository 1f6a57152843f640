package org.banyanstair.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.external.LogEntry;
import org.banyanstair.external.LogStreams;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.Sequence;

/**
 * Batches the records of a partition, because the log service accepts only several hundred appends per second for the
 * whole system. Not thread-safe.
 */
final class PartitionAppender {
    private final int partition;
    private final HostIdentity writer;
    private final Duration batchDelay;
    private final Sequence sequence;
    private final Map<Long, List<SubmittedCall>> appends = new HashMap<>();
    private final Map<AttemptId, CallRecord> unconfirmedOutcomes = new LinkedHashMap<>();
    private final Set<AttemptId> newOutcomes = new LinkedHashSet<>();
    private Optional<Instant> dueAt = Optional.empty();

    PartitionAppender(int partition, HostIdentity writer, Duration batchDelay, Sequence sequence) {
        this.partition = partition;
        this.writer = writer;
        this.batchDelay = batchDelay;
        this.sequence = sequence;
    }

    /** Schedules the next append, unless one is already scheduled. */
    void schedule(Instant now) {
        if (dueAt.isEmpty()) {
            dueAt = Optional.of(now.plus(batchDelay));
        }
    }

    boolean isDue(Instant now) {
        return dueAt.filter(due -> !now.isBefore(due)).isPresent();
    }

    /** Adds the outcome of an attempt to the next append; it is appended again until it has been read from the log. */
    void addOutcome(CallRecord record, Instant now) {
        unconfirmedOutcomes.put(record.attempt(), record);
        newOutcomes.add(record.attempt());
        schedule(now);
    }

    /** Appends the new outcomes and the intents of the queued calls, each preceded by the voids that it requires. */
    void append(List<SubmittedCall> queued, Effects effects) {
        dueAt = Optional.empty();
        List<LogEntry> entries = new ArrayList<>();
        newOutcomes.stream().map(unconfirmedOutcomes::get).forEach(entries::add);
        newOutcomes.clear();
        for (SubmittedCall call : queued) {
            PeerMessage.CallSubmit submit = call.submit();
            submit.voided().forEach(attempt -> entries.add(new CallRecord.Void(submit.key(), attempt)));
            entries.add(new CallRecord.Intent(
                    submit.key(),
                    submit.attempt(),
                    writer,
                    submit.bodyDigest(),
                    submit.call().deadline()));
            call.moveTo(SubmittedCall.Stage.APPENDED);
        }
        send(entries, queued, effects);
    }

    private void send(List<LogEntry> entries, List<SubmittedCall> calls, Effects effects) {
        if (!entries.isEmpty()) {
            long appendId = sequence.next();
            appends.put(appendId, calls);
            effects.add(new Effect.AppendToLog(appendId, LogStreams.callStream(partition), entries));
        }
    }

    /** Appends all outcomes again that have not been read from the log. */
    void resendOutcomes(Effects effects) {
        send(List.copyOf(unconfirmedOutcomes.values()), List.of(), effects);
        newOutcomes.clear();
    }

    /** Confirms the outcome that a record of the stream contains. */
    void read(CallRecord record) {
        boolean isOutcome = record instanceof CallRecord.Result
                || record instanceof CallRecord.Unknown
                || record instanceof CallRecord.NotRun;
        if (isOutcome) {
            unconfirmedOutcomes.remove(record.attempt());
            newOutcomes.remove(record.attempt());
        }
    }

    /** Removes a completed append and returns the calls whose intents it contained. */
    List<SubmittedCall> removeAppend(long appendId) {
        return Optional.ofNullable(appends.remove(appendId)).orElse(List.of());
    }

    boolean hasUnconfirmedOutcomes() {
        return !unconfirmedOutcomes.isEmpty();
    }

    boolean isOutcomeUnconfirmed(AttemptId attempt) {
        return unconfirmedOutcomes.containsKey(attempt);
    }
}
