package org.banyanstair.idempotency;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.LogStreams;
import org.banyanstair.external.ServiceCallResult;
import org.banyanstair.membership.Membership;
import org.banyanstair.model.HostId;
import org.banyanstair.ownership.RendezvousHash;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.reducer.Sequence;
import org.banyanstair.reducer.StreamEntry;

/**
 * The writers of all partitions on one host. A host follows the partitions that it may have to write.
 *
 * <p>Not safe for use by several threads.
 */
public final class CallWriters {
    /** A host follows the partitions for which it ranks this high or higher, so that the next writer knows the keys. */
    private static final int FOLLOWED_RANKS = 2;

    private final Membership membership;
    private final List<CallWriter> writers;
    private final Set<Integer> followed = new HashSet<>();
    private Set<Integer> wanted = Set.of();
    private long rankedAtChange = -1;

    /**
     * Creates the writers.
     *
     * @param membership hosts and endpoints
     * @param settings settings of the host
     * @param sequence source of numbers
     */
    public CallWriters(Membership membership, ReducerSettings settings, Sequence sequence) {
        this.membership = membership;
        this.writers = LogStreams.callPartitions()
                .mapToObj(partition -> new CallWriter(partition, membership, settings, sequence))
                .toList();
    }

    /**
     * Takes an attempt from an entry host.
     *
     * @param submitter the entry host
     * @param submit the attempt
     * @param now present instant
     * @param effects collects what to do
     */
    public void submit(HostId submitter, PeerMessage.CallSubmit submit, Instant now, Effects effects) {
        int partition = submit.key().partition();
        follow(partition, effects);
        writers.get(partition).submit(submitter, submit, now, effects);
    }

    private void follow(int partition, Effects effects) {
        if (followed.add(partition)) {
            long from = writers.get(partition).ledger().nextOffset();
            effects.add(new Effect.FollowStream(LogStreams.callStream(partition), from));
        }
    }

    /**
     * Takes a record of a partition.
     *
     * @param stream stream of the partition
     * @param entry place of the record
     * @param record the record, empty if it could not be decoded
     * @param now present instant
     * @param effects collects what to do
     */
    public void read(String stream, StreamEntry entry, Optional<CallRecord> record, Instant now, Effects effects) {
        CallWriter writer = writers.get(LogStreams.callPartition(stream));
        if (record.isPresent()) {
            writer.read(entry.offset(), entry.appendedAt(), record.get(), now, effects);
        } else {
            writer.skip(entry.offset());
        }
    }

    /**
     * Takes the end of a dispatch.
     *
     * @param dispatch number of the dispatch
     * @param result how it ended
     * @param now present instant
     * @param effects collects what to do
     */
    public void dispatchEnded(long dispatch, ServiceCallResult result, Instant now, Effects effects) {
        for (CallWriter writer : writers) {
            if (writer.dispatchEnded(dispatch, result, now, effects)) {
                return;
            }
        }
    }

    /**
     * Takes the news that the log did not take an append.
     *
     * @param append number of the append
     * @param failure why
     * @param effects collects what to do
     */
    public void appendRejected(long append, Failure failure, Effects effects) {
        writers.forEach(writer -> writer.appendRejected(append, failure, effects));
    }

    /**
     * Takes the news that an append has ended otherwise.
     *
     * @param append number of the append
     */
    public void appendEnded(long append) {
        writers.forEach(writer -> writer.appendEnded(append));
    }

    /**
     * Tells whether a partition has unfinished work.
     *
     * @return true while an attempt waits for the log or an endpoint
     */
    public boolean isBusy() {
        return writers.stream().anyMatch(CallWriter::isBusy);
    }

    /**
     * Follows and unfollows partitions, and does what is due in each.
     *
     * @param now present instant
     * @param effects collects what to do
     */
    public void tick(Instant now, Effects effects) {
        if (membership.hasListing()) {
            rankIfChanged();
            LogStreams.callPartitions().forEach(partition -> followOrNot(partition, effects));
        }
        writers.forEach(writer -> writer.tick(now, effects));
    }

    /** Ranking all hosts at each tick would take more than a core with a few hundred hosts. */
    private void rankIfChanged() {
        if (rankedAtChange == membership.listingChangeCount()) {
            return;
        }
        rankedAtChange = membership.listingChangeCount();
        List<HostId> live = membership.listing().liveHosts();
        wanted = LogStreams.callPartitions()
                .filter(partition -> isRanked(partition, live))
                .boxed()
                .collect(Collectors.toUnmodifiableSet());
    }

    private boolean isRanked(int partition, List<HostId> live) {
        return RendezvousHash.rank(LogStreams.callStream(partition), live).stream()
                .limit(FOLLOWED_RANKS)
                .anyMatch(membership.self().host()::equals);
    }

    private void followOrNot(int partition, Effects effects) {
        if (wanted.contains(partition)) {
            follow(partition, effects);
        } else if (followed.contains(partition) && !writers.get(partition).isBusy()) {
            followed.remove(partition);
            effects.add(new Effect.UnfollowStream(LogStreams.callStream(partition)));
        }
    }
}
