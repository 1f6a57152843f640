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
    private final Duration batch;
    private final Sequence sequence;
    private final Map<Long, List<SubmittedCall>> appends = new HashMap<>();
    private final Map<AttemptId, CallRecord> unconfirmedEnds = new LinkedHashMap<>();
    private final Set<AttemptId> newEnds = new LinkedHashSet<>();
    private Optional<Instant> dueAt = Optional.empty();

    PartitionAppender(int partition, HostIdentity writer, Duration batch, Sequence sequence) {
        this.partition = partition;
        this.writer = writer;
        this.batch = batch;
        this.sequence = sequence;
    }

    /** Schedules the next append, unless one is already scheduled. */
    void schedule(Instant now) {
        if (dueAt.isEmpty()) {
            dueAt = Optional.of(now.plus(batch));
        }
    }

    boolean isDue(Instant now) {
        return dueAt.filter(due -> !now.isBefore(due)).isPresent();
    }

    /** Adds the outcome of an attempt to the next append; it is appended again until it has been read from the log. */
    void end(CallRecord record, Instant now) {
        unconfirmedEnds.put(record.attempt(), record);
        newEnds.add(record.attempt());
        schedule(now);
    }

    /** Appends the new outcomes and the intents of the queued calls, each preceded by the voids that it requires. */
    void append(List<SubmittedCall> queued, Effects effects) {
        dueAt = Optional.empty();
        List<LogEntry> entries = new ArrayList<>();
        newEnds.stream().map(unconfirmedEnds::get).forEach(entries::add);
        newEnds.clear();
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
            long append = sequence.next();
            appends.put(append, calls);
            effects.add(new Effect.AppendToLog(append, LogStreams.callStream(partition), entries));
        }
    }

    /** Appends all outcomes again that have not been read from the log. */
    void repeatEnds(Effects effects) {
        send(List.copyOf(unconfirmedEnds.values()), List.of(), effects);
        newEnds.clear();
    }

    /** Confirms the outcome that a record of the stream contains. */
    void read(CallRecord record) {
        boolean isEnd = record instanceof CallRecord.Result
                || record instanceof CallRecord.Unknown
                || record instanceof CallRecord.NotRun;
        if (isEnd) {
            unconfirmedEnds.remove(record.attempt());
            newEnds.remove(record.attempt());
        }
    }

    /** Removes a completed append and returns the calls whose intents it contained. */
    List<SubmittedCall> ended(long append) {
        return Optional.ofNullable(appends.remove(append)).orElse(List.of());
    }

    boolean hasUnconfirmedEnds() {
        return !unconfirmedEnds.isEmpty();
    }

    boolean isUnconfirmed(AttemptId attempt) {
        return unconfirmedEnds.containsKey(attempt);
    }
}
