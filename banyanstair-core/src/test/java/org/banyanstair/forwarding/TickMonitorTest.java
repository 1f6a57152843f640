package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an arrival that is taken for later than it may have been, or for earlier in a host that keeps up. */
class TickMonitorTest {
    private static final int ROUNDS = 10;

    private final TickMonitor monitor = new TickMonitor();

    private Instant now = Instant.ofEpochSecond(100);

    private void tickAfter(Duration time) {
        now = now.plus(time);
        monitor.recordTick(now);
    }

    @Property(tries = 200)
    void hostThatTicksInTimeReadsAtOnce(@ForAll @IntRange(min = 1, max = 140) int milliseconds) {
        TickMonitor steady = new TickMonitor();
        Instant instant = Instant.ofEpochSecond(100);
        for (int round = 0; round < ROUNDS; round++) {
            steady.recordTick(instant);
            instant = instant.plusMillis(milliseconds);
            assertEquals(instant, steady.earliestArrival(instant));
            assertFalse(steady.isBehind());
        }
    }

    /** What is read in a round has arrived after the poll of the round before, which followed the last tick but one. */
    @Property(tries = 200)
    void arrivalIsNotLaterThanTheLastTickButOneInASlowLoop(@ForAll @IntRange(min = 310, max = 5000) int milliseconds) {
        TickMonitor slow = new TickMonitor();
        Instant first = Instant.ofEpochSecond(100);
        slow.recordTick(first);
        slow.recordTick(first.plusMillis(milliseconds));
        Instant reading = first.plusMillis(milliseconds + 50L);
        assertEquals(first, slow.earliestArrival(reading));
        assertEquals(reading.plusMillis(milliseconds), slow.nextRead(reading));
    }

    @Test
    void hostHasCaughtUpTwoTicksAfterAStandstill() {
        tickAfter(Duration.ZERO);
        tickAfter(Duration.ofMillis(100));
        tickAfter(Duration.ofSeconds(4));
        assertTrue(monitor.isBehind());
        tickAfter(Duration.ofMillis(1));
        assertFalse(monitor.isBehind());
        tickAfter(Duration.ofMillis(1));
        assertEquals(now, monitor.earliestArrival(now));
    }

    @Test
    void delayIsReportedOnce() {
        tickAfter(Duration.ZERO);
        tickAfter(Duration.ofMillis(100));
        assertTrue(monitor.report(now).isEmpty());
        tickAfter(Duration.ofSeconds(2));
        assertEquals(2100L, monitor.report(now).orElseThrow().fields().get("read-delay-ms"));
        assertEquals(Duration.ofMillis(2100), monitor.reportedDelay());
        tickAfter(Duration.ofMillis(1));
        assertTrue(monitor.report(now).isEmpty());
    }
}
