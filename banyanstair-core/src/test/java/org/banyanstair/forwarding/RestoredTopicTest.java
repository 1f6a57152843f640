package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against records of one era of the log that are taken for those of another. */
class RestoredTopicTest {
    private final TopicConsumer consumer = new TopicConsumer(Topic.CONFIGURATION, Duration.ofSeconds(3), Duration.ZERO);
    private Instant now = Instant.ofEpochSecond(50);

    private static TopicRecord entry(String key, LogPosition position) {
        return new TopicRecord(key, Optional.of(new byte[] {1}), position);
    }

    private static LogPosition at(long era, long offset) {
        return new LogPosition(era, offset);
    }

    private List<TopicRecord> read(boolean snapshot, LogPosition end, TopicRecord... records) {
        return consumer.applyRead(
                new ForwardingEvent.TopicRead(Topic.CONFIGURATION, now, snapshot, List.of(records), end), now);
    }

    private List<ForwardingEffect> tick() {
        now = now.plusMillis(200);
        return consumer.tick(now);
    }

    @BeforeEach
    void readFirstEra() {
        consumer.tick(now);
        read(true, at(1, 10), entry("a", at(1, 4)), entry("b", at(1, 9)));
        tick();
    }

    private void restore() {
        consumer.beginEra(2, now, now);
    }

    @Test
    void answerOfALaterEraToAReadOfAnEarlierOneIsNoContinuation() {
        assertTrue(read(false, at(2, 12), entry("a", at(2, 10)), entry("c", at(2, 11)))
                .isEmpty());
        assertEquals(List.of(new ForwardingEffect.ReadNewest(Topic.CONFIGURATION)), tick());
    }

    @Test
    void recordsOfTheRestoredLogCountThoughTheirOffsetsAreLower() {
        restore();
        assertEquals(List.of(new ForwardingEffect.ReadNewest(Topic.CONFIGURATION)), tick());
        List<TopicRecord> changes = read(true, at(2, 3), entry("a", at(2, 2)));
        assertEquals(List.of("b", "a"), changes.stream().map(TopicRecord::key).toList());
        assertTrue(changes.get(0).value().isEmpty(), "the copy lacks b");
        tick();
        assertEquals(1, read(false, at(2, 4), entry("b", at(2, 3))).size());
        assertTrue(consumer.isCurrent());
    }

    @Test
    void lateAnswerOfAnEndedEraChangesNothing() {
        restore();
        tick();
        assertTrue(read(false, at(1, 12), entry("a", at(1, 11))).isEmpty());
        assertFalse(consumer.isCurrent());
        assertEquals(at(1, 10), consumer.end());
        assertEquals(List.of(new ForwardingEffect.ReadNewest(Topic.CONFIGURATION)), tick());
    }

    @Test
    void peersOfAnEndedEraChangeNothing() {
        restore();
        tick();
        read(true, at(2, 3), entry("a", at(2, 2)));
        assertTrue(consumer.applyRelayed(at(1, 3), List.of(entry("a", at(1, 9))), at(1, 12), now)
                .isEmpty());
        assertEquals(at(2, 3), consumer.end());
    }

    /** A host that the log rejects learns what the restored log holds from a peer. */
    @Test
    void completeRecordsOfAPeerReplaceWhatIsKnown() {
        restore();
        assertTrue(consumer.applyRelayed(at(2, 2), List.of(entry("a", at(2, 2))), at(2, 3), now)
                .isEmpty());
        List<TopicRecord> changes = consumer.applyRelayed(at(2, 0), List.of(entry("a", at(2, 2))), at(2, 3), now);
        assertEquals(List.of("b", "a"), changes.stream().map(TopicRecord::key).toList());
        assertTrue(consumer.isCurrent());
    }

    @Test
    void peerThatAsksFromAnEndedEraGetsAllRecords() {
        restore();
        tick();
        read(true, at(2, 3), entry("a", at(2, 1)), entry("c", at(2, 2)));
        assertEquals(at(2, 0), consumer.completeFrom(at(1, 10)));
        assertEquals(2, consumer.recordsFrom(at(1, 10)).size());
        assertEquals(1, consumer.recordsFrom(at(2, 2)).size());
    }

    /** Guards against a read, a refusal and a snapshot in turn without a pause, 90 times a second. */
    @Test
    void readsPauseAfterTheSecondRefusal() {
        int reads = 0;
        for (int milliseconds = 0; milliseconds < 10_000; milliseconds += 10) {
            now = now.plusMillis(10);
            for (ForwardingEffect effect : consumer.tick(now)) {
                reads++;
                if (effect instanceof ForwardingEffect.ReadNewest) {
                    read(true, at(1, 3), entry("a", at(1, 2)));
                } else {
                    consumer.expired(now);
                }
            }
            if (milliseconds == 0) {
                consumer.expired(now);
            }
        }
        assertTrue(reads <= 22, reads + " reads in 10 s");
    }

    @Test
    void fencingNumbersRiseOverEras() {
        assertTrue(at(2, 0).toNumber() > at(1, 4_000_000_000L).toNumber());
        assertEquals(17, at(0, 17).toNumber());
    }
}
