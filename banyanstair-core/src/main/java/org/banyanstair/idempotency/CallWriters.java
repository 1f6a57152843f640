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
 * The writers of all call partitions on one host. Reads only the streams of partitions that it may have to write.
 *
 * <p>Not thread-safe.
 */
public final class CallWriters {
    /** The second-ranked host also follows a partition, so that it knows the keys when it takes over as writer. */
    private static final int FOLLOWED_RANKS = 2;

    private final Membership membership;
    private final List<CallWriter> writers;
    private final Set<Integer> followedPartitions = new HashSet<>();
    private Set<Integer> rankedPartitions = Set.of();
    private long rankedListingChanges = -1;

    /** Creates the writers. */
    public CallWriters(Membership membership, ReducerSettings settings, Sequence sequence) {
        this.membership = membership;
        this.writers = LogStreams.callPartitions()
                .mapToObj(partition -> new CallWriter(partition, membership, settings, sequence))
                .toList();
    }

    /** Accepts an attempt submitted by an entry host. */
    public void submit(HostId submitter, PeerMessage.CallSubmit submit, Instant now, Effects effects) {
        int partition = submit.key().partition();
        follow(partition, effects);
        writers.get(partition).submit(submitter, submit, now, effects);
    }

    private void follow(int partition, Effects effects) {
        if (followedPartitions.add(partition)) {
            long from = writers.get(partition).states().nextOffset();
            effects.add(new Effect.FollowStream(LogStreams.callStream(partition), from));
        }
    }

    /**
     * Handles a record of the stream of a partition.
     *
     * @param entry offset and time of the record
     * @param record the record, empty if it could not be decoded
     */
    public void read(String stream, StreamEntry entry, Optional<CallRecord> record, Instant now, Effects effects) {
        CallWriter writer = writers.get(LogStreams.callPartition(stream));
        if (record.isPresent()) {
            writer.read(entry.offset(), entry.appendedAt(), record.get(), now, effects);
        } else {
            writer.skip(entry.offset());
        }
    }

    /** Handles the result of a dispatch. */
    public void dispatchEnded(long dispatchId, ServiceCallResult result, Instant now, Effects effects) {
        for (CallWriter writer : writers) {
            if (writer.dispatchEnded(dispatchId, result, now, effects)) {
                return;
            }
        }
    }

    /** Handles an append that the log rejected. */
    public void appendRejected(long appendId, Failure failure, Effects effects) {
        writers.forEach(writer -> writer.appendRejected(appendId, failure, effects));
    }

    /** Handles an append that the log stored or may have stored. */
    public void appendEnded(long appendId) {
        writers.forEach(writer -> writer.appendEnded(appendId));
    }

    /**
     * Returns whether a partition has unfinished work.
     *
     * @return true while an attempt waits for the log or an endpoint, or an outcome is not confirmed by the log
     */
    public boolean isBusy() {
        return writers.stream().anyMatch(CallWriter::isBusy);
    }

    /** Updates the set of followed partitions and performs the periodic work of each writer. */
    public void tick(Instant now, Effects effects) {
        if (membership.hasListing()) {
            rankIfChanged();
            LogStreams.callPartitions().forEach(partition -> followOrUnfollow(partition, effects));
        }
        writers.forEach(writer -> writer.tick(now, effects));
    }

    /** Ranking a few hundred hosts on each tick would use more than one core. */
    private void rankIfChanged() {
        if (rankedListingChanges == membership.listingChangeCount()) {
            return;
        }
        rankedListingChanges = membership.listingChangeCount();
        List<HostId> live = membership.listing().liveHosts();
        rankedPartitions = LogStreams.callPartitions()
                .filter(partition -> isRanked(partition, live))
                .boxed()
                .collect(Collectors.toUnmodifiableSet());
    }

    private boolean isRanked(int partition, List<HostId> live) {
        return RendezvousHash.rank(LogStreams.callStream(partition), live).stream()
                .limit(FOLLOWED_RANKS)
                .anyMatch(membership.self().host()::equals);
    }

    private void followOrUnfollow(int partition, Effects effects) {
        if (rankedPartitions.contains(partition)) {
            follow(partition, effects);
        } else if (followedPartitions.contains(partition)
                && !writers.get(partition).isBusy()) {
            followedPartitions.remove(partition);
            effects.add(new Effect.UnfollowStream(LogStreams.callStream(partition)));
        }
    }
}
