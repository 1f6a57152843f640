package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.history.LostRecords;

/**
 * Reads a compacted topic: first a snapshot with the newest record of each key, then the records as they are appended.
 *
 * <p>Records with a lower position than the known one of their key are ignored. When the log was restored from a copy, a
 * new era begins: what was known is replaced by a snapshot of that era, and what is read of an earlier one is ignored.
 */
final class TopicConsumer {
    /** Pause after a failed read. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(150);

    /** Pause after the second refused read in a row. */
    private static final Duration EXPIRED_PAUSE = Duration.ofSeconds(1);

    /** Read interval above which a host counts as polling, relying on another host that reads for it. */
    private static final Duration POLLING_INTERVAL_THRESHOLD = Duration.ofSeconds(2);

    /** Pause after a failed read of a polling host. */
    private static final Duration POLLING_RETRY_PAUSE = Duration.ofSeconds(1);

    /** Time without relayed records after which a host reads the topic itself. */
    private static final Duration RELAY_TIMEOUT = Duration.ofMillis(1100);

    /** Time after the end of an outage in which registry entries may still be missing because of it. */
    private static final Duration RECOVERY_PERIOD = Duration.ofSeconds(3);

    private final Topic topic;
    private Duration readWait;
    private Duration readInterval;
    private boolean readsForPeers;
    private final Map<String, TopicRecord> newest = new TreeMap<>();
    private final LostRecords<TopicRecord> lost = new LostRecords<>();
    private LogPosition end = LogPosition.UNREAD;
    private long era;
    private Optional<LogPosition> readFrom = Optional.empty();
    private int expiredReads;
    private Instant readStartedAt = Instant.MIN;
    private boolean reading;
    private boolean waitingForRecords;
    private boolean needSnapshot = true;
    private boolean readImmediately;
    private Instant nextReadAt = Instant.MIN;
    private Optional<Instant> unavailableSince = Optional.empty();
    private Instant recoveredAt = Instant.MIN;
    private boolean outageConfinedToSelf;

    /**
     * Creates a consumer.
     *
     * @param readWait how long a read waits for a record
     * @param readInterval time between the end of a read and the next, to batch records
     */
    TopicConsumer(Topic topic, Duration readWait, Duration readInterval) {
        this.topic = topic;
        this.readWait = readWait;
        this.readInterval = readInterval;
    }

    /** Changes the wait and the interval of the next reads, and whether peers rely on them. */
    void setReadSchedule(Duration newReadWait, Duration newReadInterval, boolean forPeers, Instant now) {
        boolean readsSooner = newReadInterval.compareTo(readInterval) < 0 || forPeers && !readsForPeers;
        if (readsSooner && now.plus(newReadInterval).isBefore(nextReadAt)) {
            nextReadAt = now.plus(newReadInterval);
        }
        readWait = newReadWait;
        readInterval = newReadInterval;
        readsForPeers = forPeers;
    }

    Topic topic() {
        return topic;
    }

    LogPosition end() {
        return end;
    }

    boolean hasBeenRead() {
        return end.isRead();
    }

    /** Returns whether the topic has been read in the newest known era of the log. */
    boolean isCurrent() {
        return hasBeenRead() && end.era() == era;
    }

    /** Returns whether the newest record of a key says that it was removed. */
    boolean isRemoved(String key) {
        TopicRecord known = newest.get(key);
        return known != null && known.value().isEmpty();
    }

    /**
     * Replaces what is known by a snapshot, because the log was restored from a copy.
     *
     * @param newEra the era that has begun
     * @param snapshotAt when to read the snapshot
     */
    void beginEra(long newEra, Instant snapshotAt, Instant now) {
        era = newEra;
        needSnapshot = true;
        reading = false;
        nextReadAt = snapshotAt;
        // Entries of endpoints may be missing from the copy until their writers write them again.
        recoveredAt = now;
    }

    /** Returns the time since the start of the last answered read; empty if there was none. */
    Optional<Duration> age(Instant now) {
        return readStartedAt.equals(Instant.MIN) ? Optional.empty() : Optional.of(Duration.between(readStartedAt, now));
    }

    /** Starts a new read immediately, even if one is in flight, and discards the age of earlier reads. */
    void restartRead(Instant now) {
        readStartedAt = Instant.MIN;
        reading = false;
        readImmediately = true;
        nextReadAt = now;
    }

    /** Starts the next read without delay and without waiting for records, unless one is in flight. */
    void readImmediately(Instant now) {
        if (!reading) {
            readImmediately = true;
            nextReadAt = now;
        }
    }

    /**
     * Repeats a read that waits for records without the wait, because its connection may have gone silent. A read that
     * does not wait ends by its own time-out.
     */
    void restartWaitingRead(Instant now) {
        if (reading && waitingForRecords) {
            reading = false;
            readImmediately = true;
            nextReadAt = now;
        }
    }

    boolean isAvailable() {
        return unavailableSince.isEmpty() && hasBeenRead();
    }

    /** Returns whether entries may be missing only because their writers could not reach the log. */
    boolean isRecovering(Instant now) {
        return isInOutage() || now.isBefore(recoveredAt.plus(RECOVERY_PERIOD));
    }

    /**
     * Returns the time since the end of the last outage while entries may still be missing because of it; zero during
     * an outage.
     */
    Optional<Duration> outageAge(Instant now) {
        if (!isRecovering(now)) {
            return Optional.empty();
        }
        return Optional.of(isInOutage() ? Duration.ZERO : Duration.between(recoveredAt, now));
    }

    private boolean isInOutage() {
        return unavailableSince.isPresent() && !outageConfinedToSelf;
    }

    /** Returns the records that the restored log lacks; always empty for topics whose writers write them again soon. */
    LostRecords<TopicRecord> lost() {
        return lost;
    }

    /** Returns the records from a position on; all of them if it is one of an earlier era. */
    List<TopicRecord> recordsFrom(LogPosition position) {
        return newest.values().stream()
                .filter(entry -> !entry.position().isBefore(completeFrom(position)))
                .toList();
    }

    /** Returns the position from which {@link #recordsFrom} is complete. */
    LogPosition completeFrom(LogPosition position) {
        return position.era() < end.era() ? LogPosition.startOf(end.era()) : position;
    }

    List<ForwardingEffect> tick(Instant now) {
        if (reading || now.isBefore(nextReadAt)) {
            return List.of();
        }
        reading = true;
        waitingForRecords = !needSnapshot && !readImmediately;
        readFrom = needSnapshot ? Optional.empty() : Optional.of(end);
        return List.of(
                needSnapshot
                        ? new ForwardingEffect.ReadNewest(topic)
                        : new ForwardingEffect.ReadFrom(topic, end, readImmediately ? now : now.plus(readWait)));
    }

    /** Applies the result of a read; returns the new records. */
    List<TopicRecord> applyRead(ForwardingEvent.TopicRead event, Instant now) {
        boolean continues = event.snapshot() || followsKnownRecords(event.end().era());
        if (!continues && needSnapshot) {
            // The snapshot that replaces this read has been requested already, or is due.
            return List.of();
        }
        reading = false;
        readImmediately = false;
        if (event.end().era() < era) {
            nextReadAt = now.plus(RETRY_PAUSE);
            return List.of();
        }
        if (!continues) {
            needSnapshot = true;
            nextReadAt = now;
            return List.of();
        }
        era = event.end().era();
        nextReadAt = now.plus(readInterval);
        readStartedAt = event.startedAt().isAfter(readStartedAt) ? event.startedAt() : readStartedAt;
        if (isInOutage()) {
            recoveredAt = now;
        }
        unavailableSince = Optional.empty();
        List<TopicRecord> ended = recordsOfEndedEra(event.end());
        List<TopicRecord> newRecords = new ArrayList<>();
        if (event.snapshot()) {
            needSnapshot = false;
            newRecords.addAll(removeMissing(event.records(), event.end()));
        } else {
            expiredReads = 0;
        }
        newRecords.addAll(apply(event.records()));
        keepLost(ended);
        advanceTo(event.end());
        return newRecords;
    }

    /** Returns whether a read that was not a snapshot continues what is known, which is of the same era. */
    private boolean followsKnownRecords(long readEra) {
        boolean sameEra = !hasBeenRead() || end.era() == readEra;
        return sameEra && readFrom.filter(from -> from.era() != readEra).isEmpty();
    }

    private void advanceTo(LogPosition newEnd) {
        end = newEnd.isAfter(end) ? newEnd : end;
    }

    /** Removes the keys that a complete list of records up to an end does not contain; returns their removals. */
    private List<TopicRecord> removeMissing(List<TopicRecord> records, LogPosition listEnd) {
        Set<String> present = records.stream().map(TopicRecord::key).collect(Collectors.toSet());
        List<TopicRecord> removals = newest.values().stream()
                .filter(known -> known.value().isPresent()
                        && known.position().isBefore(listEnd)
                        && !present.contains(known.key()))
                .map(known -> new TopicRecord(known.key(), Optional.empty(), removalPosition(known, listEnd.era())))
                .toList();
        removals.forEach(removal -> newest.put(removal.key(), removal));
        return removals;
    }

    private static LogPosition removalPosition(TopicRecord known, long listEra) {
        return known.position().era() == listEra ? known.position() : LogPosition.beforeFirst(listEra);
    }

    /**
     * Applies records that a peer has read; returns the new ones. Postpones this host's own read while relayed records
     * arrive, unless peers rely on it.
     *
     * @param from position from which the records are complete; if earlier ones are unknown here, none are applied
     * @param peerEnd end of the peer's read
     */
    List<TopicRecord> applyRelayed(LogPosition from, List<TopicRecord> records, LogPosition peerEnd, Instant now) {
        boolean startsEra = peerEnd.era() > end.era();
        boolean hasGap = startsEra ? from.offset() > 0 : from.isAfter(end.orFirst());
        if (peerEnd.era() < era || hasGap) {
            return List.of();
        }
        Instant ownReadAt = now.plus(readInterval.compareTo(RELAY_TIMEOUT) > 0 ? readInterval : RELAY_TIMEOUT);
        if (!startsEra && !readsForPeers && peerEnd.isAfter(end) && isAvailable() && nextReadAt.isBefore(ownReadAt)) {
            nextReadAt = ownReadAt;
        }
        List<TopicRecord> ended = recordsOfEndedEra(peerEnd);
        List<TopicRecord> newRecords = new ArrayList<>();
        if (startsEra) {
            newRecords.addAll(removeMissing(records, peerEnd));
        }
        newRecords.addAll(apply(records));
        keepLost(ended);
        advanceTo(peerEnd);
        return newRecords;
    }

    /** Returns what is known of an era that ends with a read up to a position of a later one. */
    private List<TopicRecord> recordsOfEndedEra(LogPosition readTo) {
        return topic == Topic.CONFIGURATION && end.era() < readTo.era() ? List.copyOf(newest.values()) : List.of();
    }

    /** Keeps the records of an ended era that the log does not hold any more; those lost earlier are newer. */
    private void keepLost(List<TopicRecord> ended) {
        if (!ended.isEmpty()) {
            lost.keep(
                    ended.stream()
                            .filter(entry -> isLost(entry) && !lost.contains(entry.key()))
                            .collect(Collectors.toMap(TopicRecord::key, Function.identity())),
                    end);
        }
    }

    private boolean isLost(TopicRecord ended) {
        Optional<byte[]> held = Optional.ofNullable(newest.get(ended.key())).flatMap(TopicRecord::value);
        return ended.value().isPresent() && !Arrays.equals(ended.value().get(), held.orElse(null));
    }

    private List<TopicRecord> apply(List<TopicRecord> records) {
        List<TopicRecord> newRecords = new ArrayList<>();
        for (TopicRecord entry : records) {
            TopicRecord known = newest.get(entry.key());
            if (known == null || known.position().isBefore(entry.position())) {
                newest.put(entry.key(), entry);
                newRecords.add(entry);
            }
        }
        return newRecords;
    }

    /**
     * Records the end of an outage that a peer observed; a host that reads the topic itself detects outages by its own
     * reads.
     */
    void recordRelayedOutage(Instant endedAt) {
        outageConfinedToSelf = false;
        if (reliesOnPeers() && endedAt.isAfter(recoveredAt)) {
            recoveredAt = endedAt;
        }
    }

    /**
     * Records that a peer has just read new records and has seen no outage lately. The log may reject some hosts while
     * it serves the others, so an outage that only this host sees explains no missing entry.
     */
    void recordPeerRead(Instant now) {
        if (unavailableSince.isEmpty()) {
            recoveredAt = Instant.MIN;
        } else if (now.isAfter(unavailableSince.get().plus(RELAY_TIMEOUT))) {
            outageConfinedToSelf = true;
        }
    }

    /** Returns whether this host only polls the topic, because other hosts relay its records. */
    boolean reliesOnPeers() {
        return readInterval.compareTo(POLLING_INTERVAL_THRESHOLD) > 0;
    }

    /** Reads a snapshot instead of what has expired; pauses if the read after the last snapshot was refused as well. */
    void expired(Instant now) {
        if (needSnapshot && hasBeenRead()) {
            return;
        }
        reading = false;
        needSnapshot = true;
        expiredReads++;
        nextReadAt = expiredReads == 1 ? now : now.plus(EXPIRED_PAUSE);
    }

    void unavailable(Instant now) {
        reading = false;
        // The first read after a failure must not wait for records, so that it shows at once whether the log answers.
        readImmediately = true;
        nextReadAt = now.plus(reliesOnPeers() ? POLLING_RETRY_PAUSE : RETRY_PAUSE);
        if (unavailableSince.isEmpty()) {
            unavailableSince = Optional.of(now);
            outageConfinedToSelf = false;
        }
    }
}
