package org.banyanstair.testsupport.log;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.LongStream;

import org.banyanstair.external.LogRecord;
import org.banyanstair.external.ReadResult;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against offsets that change or expired records that become readable again when records expire. */
class StreamLogTest {
    private static final Instant START = Instant.parse("2026-12-04T10:00:00Z");
    private static final Duration RETENTION = Duration.ofSeconds(10);

    @Test
    void offsetsStayTheSameThroughExpiryAndCompaction() {
        StreamLog stream = new StreamLog();
        for (int i = 0; i < 3_000; i++) {
            assertEquals(i, stream.append(List.of(new byte[] {(byte) i}), START.plusMillis(i * 10L)));
        }
        stream.expire(START.plusSeconds(20), RETENTION);
        assertEquals(new ReadResult.Expired(1_001), stream.read(1_000, 1));
        assertOffsets(stream, 1_001);
        // More than half has expired, so the list is compacted.
        stream.expire(START.plusSeconds(30), RETENTION);
        assertEquals(new ReadResult.Expired(2_001), stream.read(1_001, 1));
        assertOffsets(stream, 2_001);
        stream.expire(START.plusSeconds(60), RETENTION);
        assertEquals(new ReadResult.Expired(3_000), stream.read(0, 1));
        assertEquals(new ReadResult.Records(3_000, 3_000, List.of()), stream.read(3_000, 10));
        assertEquals(3_000, stream.append(List.of(new byte[] {(byte) 3_000}), START.plusSeconds(60)));
        assertOffsets(stream, 3_000);
    }

    @Test
    void readsBeyondTheEndHaveNoRecords() {
        StreamLog stream = new StreamLog();
        stream.append(List.of(new byte[1]), START);
        assertEquals(new ReadResult.Records(5, 1, List.of()), stream.read(5, 10));
    }

    @Test
    void rateLimiterAdmitsNoMoreThanItsLimitInAnySecond() {
        AppendRateLimiter limiter = new AppendRateLimiter(2);
        assertTrue(limiter.tryAcquire(START));
        assertTrue(limiter.tryAcquire(START.plusMillis(900)));
        assertFalse(limiter.tryAcquire(START.plusMillis(999)));
        assertTrue(limiter.tryAcquire(START.plusMillis(1_000)));
        assertFalse(limiter.tryAcquire(START.plusMillis(1_899)));
        assertTrue(limiter.tryAcquire(START.plusMillis(1_900)));
    }

    private static void assertOffsets(StreamLog stream, long from) {
        ReadResult.Records read = (ReadResult.Records) stream.read(from, 50);
        List<Long> offsets = read.records().stream().map(LogRecord::offset).toList();
        assertEquals(LongStream.range(from, from + offsets.size()).boxed().toList(), offsets);
        assertTrue(!offsets.isEmpty());
        assertEquals(from + offsets.size(), read.next());
        assertEquals((byte) from, read.records().get(0).payload()[0]);
    }
}
