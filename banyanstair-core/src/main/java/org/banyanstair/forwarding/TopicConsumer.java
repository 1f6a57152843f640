package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.banyanstair.external.Topic;

/**
 * Follows a compacted topic: the newest record of each key first, then the records as they come.
 *
 * <p>Never goes back: a record with a lower offset than the one known for its key is ignored.
 */
final class TopicConsumer {
    /** Pause after a failed read. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(150);

    /** Time between reads above which a host only makes sure that it hears all from the one that reads for it. */
    private static final Duration POLLING_INTERVAL_THRESHOLD = Duration.ofSeconds(2);

    /** Pause after a failed read of such a host. */
    private static final Duration POLLING_RETRY_PAUSE = Duration.ofSeconds(1);

    /** Time without news from the host that reads for all after which a host reads itself. */
    private static final Duration RELAY_TIMEOUT = Duration.ofMillis(1100);

    /** Longest time between two lost reads and the end of the outage that counts as its aftermath. */
    private static final Duration RECOVERY_PERIOD = Duration.ofSeconds(3);

    private final Topic topic;
    private Duration readWait;
    private Duration readInterval;
    private boolean readsForPeers;
    private final Map<String, TopicRecord> newest = new TreeMap<>();
    private long end = -1;
    private Instant readStartedAt = Instant.MIN;
    private boolean reading;
    private boolean needSnapshot = true;
    private boolean readImmediately;
    private Instant nextReadAt = Instant.MIN;
    private Optional<Instant> unavailableSince = Optional.empty();
    private Instant recoveredAt = Instant.MIN;

    /**
     * Creates a follower.
     *
     * @param topic the topic
     * @param readWait how long a read waits for a record
     * @param readInterval time between the end of a read and the next, to gather records
     */
    TopicConsumer(Topic topic, Duration readWait, Duration readInterval) {
        this.topic = topic;
        this.readWait = readWait;
        this.readInterval = readInterval;
    }

    /** Changes how long the next reads wait for a record, the time between two reads, and whether peers rely on them. */
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

    long end() {
        return end;
    }

    boolean hasBeenRead() {
        return end >= 0;
    }

    /** Returns how long ago the last read that was answered began; empty if there was none. */
    Optional<Duration> age(Instant now) {
        return readStartedAt.equals(Instant.MIN) ? Optional.empty() : Optional.of(Duration.between(readStartedAt, now));
    }

    /** Reads again at once, beside a read that may be under way; what was read before has no known age any more. */
    void restartRead(Instant now) {
        readStartedAt = Instant.MIN;
        reading = false;
        readImmediately = true;
        nextReadAt = now;
    }

    boolean isAvailable() {
        return unavailableSince.isEmpty() && hasBeenRead();
    }

    /** Returns whether entries may be missing only because their writers could not reach the platform. */
    boolean isRecovering(Instant now) {
        return unavailableSince.isPresent() || now.isBefore(recoveredAt.plus(RECOVERY_PERIOD));
    }

    /** Returns how long ago the outage ended after which entries may still be missing; zero while it lasts. */
    Optional<Duration> outageAge(Instant now) {
        if (!isRecovering(now)) {
            return Optional.empty();
        }
        return Optional.of(unavailableSince.isPresent() ? Duration.ZERO : Duration.between(recoveredAt, now));
    }

    List<TopicRecord> recordsFrom(long offset) {
        return newest.values().stream()
                .filter(entry -> entry.offset() >= offset)
                .toList();
    }

    List<ForwardingEffect> tick(Instant now) {
        if (reading || now.isBefore(nextReadAt)) {
            return List.of();
        }
        reading = true;
        return List.of(
                needSnapshot
                        ? new ForwardingEffect.ReadNewest(topic)
                        : new ForwardingEffect.ReadFrom(topic, end, readImmediately ? now : now.plus(readWait)));
    }

    /** Takes what a read returned; returns the records that are news. */
    List<TopicRecord> applyRead(ForwardingEvent.TopicRead event, Instant now) {
        reading = false;
        readImmediately = false;
        nextReadAt = now.plus(readInterval);
        readStartedAt = event.startedAt().isAfter(readStartedAt) ? event.startedAt() : readStartedAt;
        if (unavailableSince.isPresent()) {
            recoveredAt = now;
            unavailableSince = Optional.empty();
        }
        List<TopicRecord> news = new ArrayList<>();
        if (event.snapshot()) {
            needSnapshot = false;
            List<String> present =
                    event.records().stream().map(TopicRecord::key).toList();
            List<String> missing = newest.values().stream()
                    .filter(known -> known.value().isPresent() && known.offset() < event.end())
                    .map(TopicRecord::key)
                    .filter(key -> !present.contains(key))
                    .toList();
            for (String key : missing) {
                TopicRecord removed =
                        new TopicRecord(key, Optional.empty(), newest.get(key).offset());
                newest.put(key, removed);
                news.add(removed);
            }
        }
        news.addAll(apply(event.records()));
        end = Math.max(end, event.end());
        return news;
    }

    /**
     * Takes records that a peer has read; returns those that are news. The own read is put off while they come, unless
     * peers rely on it.
     *
     * @param offset the records are all that the topic has from here on; if some before are unknown, none are taken
     * @param peerEnd end of the peer's read
     */
    List<TopicRecord> applyRelayed(long offset, List<TopicRecord> records, long peerEnd, Instant now) {
        if (offset > Math.max(0, end)) {
            return List.of();
        }
        Instant ownReadAt = now.plus(readInterval.compareTo(RELAY_TIMEOUT) > 0 ? readInterval : RELAY_TIMEOUT);
        if (!readsForPeers && peerEnd > end && isAvailable() && nextReadAt.isBefore(ownReadAt)) {
            nextReadAt = ownReadAt;
        }
        List<TopicRecord> news = apply(records);
        end = Math.max(end, peerEnd);
        return news;
    }

    private List<TopicRecord> apply(List<TopicRecord> records) {
        List<TopicRecord> news = new ArrayList<>();
        for (TopicRecord entry : records) {
            TopicRecord known = newest.get(entry.key());
            if (known == null || known.offset() < entry.offset()) {
                newest.put(entry.key(), entry);
                news.add(entry);
            }
        }
        return news;
    }

    /** A peer lost the log and found it again; a host that reads the topic itself notices outages by its own reads. */
    void recordRelayedOutage(Instant endedAt) {
        if (reliesOnPeers() && endedAt.isAfter(recoveredAt)) {
            recoveredAt = endedAt;
        }
    }

    private boolean reliesOnPeers() {
        return readInterval.compareTo(POLLING_INTERVAL_THRESHOLD) > 0;
    }

    void expired(Instant now) {
        reading = false;
        needSnapshot = true;
        nextReadAt = now;
    }

    void unavailable(Instant now) {
        reading = false;
        // The first read after a failure must not wait for news before it shows that the log answers again.
        readImmediately = true;
        nextReadAt = now.plus(reliesOnPeers() ? POLLING_RETRY_PAUSE : RETRY_PAUSE);
        if (unavailableSince.isEmpty()) {
            unavailableSince = Optional.of(now);
        }
    }
}
