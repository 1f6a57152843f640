package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TopicConsumerTest {
    private static final Duration WAIT = Duration.ofSeconds(3);

    private final TopicConsumer consumer = new TopicConsumer(Topic.CLAIMS, WAIT, Duration.ZERO);
    private Instant now = Instant.ofEpochSecond(50);

    private static TopicRecord entry(String key, long offset) {
        return new TopicRecord(key, Optional.of(new byte[] {1}), new LogPosition(0, offset));
    }

    private List<TopicRecord> read(boolean snapshot, long end, TopicRecord... records) {
        return consumer.applyRead(
                new ForwardingEvent.TopicRead(Topic.CLAIMS, now, snapshot, List.of(records), new LogPosition(0, end)),
                now);
    }

    private ForwardingEffect.ReadFrom nextRead() {
        now = now.plusMillis(200);
        return (ForwardingEffect.ReadFrom) consumer.tick(now).get(0);
    }

    @Test
    void snapshotIsReadBeforeTheFollowingRecords() {
        assertEquals(List.of(new ForwardingEffect.ReadNewest(Topic.CLAIMS)), consumer.tick(now));
        read(true, 5, entry("a", 3), entry("b", 4));
        ForwardingEffect.ReadFrom next = nextRead();
        assertEquals(5, next.from().offset());
        assertEquals(now.plus(WAIT), next.waitUntil());
    }

    /** The read after a failed one must return at once; when it waited for records, commands paused for 1.7 s. */
    @Test
    void readAfterAFailureDoesNotWaitForNews() {
        consumer.tick(now);
        read(true, 5);
        nextRead();
        consumer.unavailable(now);
        assertEquals(now.plusMillis(200), nextRead().waitUntil());
        read(false, 5);
        assertEquals(now.plusMillis(200).plus(WAIT), nextRead().waitUntil());
    }

    /** A read that waits on a silent connection must not delay records; its repetition must not be repeated again. */
    @Test
    void waitingReadIsRepeatedWithoutWaitOnce() {
        consumer.tick(now);
        consumer.restartWaitingRead(now);
        assertTrue(consumer.tick(now).isEmpty(), "a snapshot does not wait");
        read(true, 5);
        nextRead();
        consumer.restartWaitingRead(now);
        assertEquals(now.plusMillis(200), nextRead().waitUntil());
        consumer.restartWaitingRead(now);
        assertTrue(consumer.tick(now).isEmpty(), "the repeated read does not wait");
    }

    @Test
    void outdatedRecordsAreIgnored() {
        consumer.tick(now);
        read(true, 5, entry("a", 4));
        assertTrue(read(false, 5, entry("a", 2)).isEmpty());
        assertTrue(consumer.applyRelayed(new LogPosition(0, 4), List.of(entry("a", 4)), new LogPosition(0, 5), now)
                .isEmpty());
        assertEquals(
                1,
                consumer.applyRelayed(new LogPosition(0, 5), List.of(entry("a", 6)), new LogPosition(0, 7), now)
                        .size());
        assertEquals(7, consumer.end().offset());
    }

    /** A lost relayed message must not hide its records. */
    @Test
    void relayedRecordsAfterAGapAreNotApplied() {
        consumer.tick(now);
        read(true, 5, entry("a", 4));
        assertTrue(consumer.applyRelayed(new LogPosition(0, 6), List.of(entry("b", 6)), new LogPosition(0, 7), now)
                .isEmpty());
        assertEquals(5, consumer.end().offset());
        assertEquals(2, read(false, 7, entry("c", 5), entry("b", 6)).size());
    }

    /**
     * The replies of peers must not postpone the next read of the host that reads for them, which would stay behind.
     */
    @Test
    void hostThatReadsForPeersDoesNotPostponeItsRead() {
        consumer.tick(now);
        read(true, 5);
        nextRead();
        read(false, 5);
        consumer.applyRelayed(new LogPosition(0, 5), List.of(entry("a", 5)), new LogPosition(0, 6), now);
        now = now.plusMillis(200);
        assertTrue(consumer.tick(now).isEmpty(), "a host that relies on peers postpones its read");
        consumer.setReadSchedule(WAIT, Duration.ZERO, true, now);
        consumer.applyRelayed(new LogPosition(0, 6), List.of(entry("b", 6)), new LogPosition(0, 7), now);
        assertEquals(7, nextRead().from().offset());
    }

    /**
     * An outage that only a peer observed must not keep the entry of an endpoint; requests then reached it 2.4 s after
     * it had left.
     */
    @Test
    void hostThatReadsTheTopicItselfIgnoresOutagesOfPeers() {
        consumer.tick(now);
        read(true, 5);
        consumer.recordRelayedOutage(now);
        assertFalse(consumer.isRecovering(now));
    }

    @Test
    void outageThatAPeerDidNotSeeIsNoneOfTheWriters() {
        consumer.tick(now);
        read(true, 5);
        consumer.unavailable(now);
        consumer.recordPeerRead(now.plusMillis(300));
        assertTrue(consumer.isRecovering(now.plusMillis(300)), "the peer may have read before the outage");
        consumer.recordPeerRead(now.plusMillis(1500));
        assertFalse(consumer.isRecovering(now.plusMillis(1500)));
        consumer.recordRelayedOutage(now.plusMillis(2000));
        assertTrue(consumer.isRecovering(now.plusMillis(2000)), "the peer has lost the log too");
    }

    @Test
    void relayedOutageExpires() {
        consumer.setReadSchedule(Duration.ZERO, Duration.ofSeconds(15), false, now);
        consumer.tick(now);
        read(true, 5);
        consumer.recordRelayedOutage(now.minusMillis(2500));
        assertTrue(consumer.isRecovering(now));
        assertEquals(Optional.of(Duration.ofMillis(2900)), consumer.outageAge(now.plusMillis(400)));
        assertFalse(consumer.isRecovering(now.plusMillis(600)));
    }

    @Test
    void keysThatVanishFromASnapshotAreRemoved() {
        consumer.tick(now);
        read(true, 5, entry("a", 3), entry("b", 4));
        consumer.expired(now);
        List<TopicRecord> newRecords = read(true, 9, entry("b", 4));
        assertEquals(1, newRecords.size());
        assertEquals("a", newRecords.get(0).key());
        assertTrue(newRecords.get(0).value().isEmpty());
    }
}
