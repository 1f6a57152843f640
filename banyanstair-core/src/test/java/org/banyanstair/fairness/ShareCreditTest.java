package org.banyanstair.fairness;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.TreeSet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.banyanstair.teams.TeamName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an admission that is uneven or off its rate, and retries that come back together. */
class ShareCreditTest {
    private static final Instant START = Instant.ofEpochSecond(100);

    /** A team that asks for a multiple of its rate gets its rate, and no gap is longer than its rate explains. */
    @Property(tries = 200, seed = "46")
    void admitsAtItsRateAndEvenly(
            @ForAll @DoubleRange(min = 50, max = 5000) double rate,
            @ForAll @DoubleRange(min = 1.2, max = 10) double excess,
            @ForAll @IntRange(min = 10, max = 200) int tokens) {
        ShareCredit credit = new ShareCredit();
        double interval = tokens / (rate * excess);
        double admitted = 0;
        double lastAt = 0;
        for (double second = 0; second < 20; second += interval) {
            if (credit.admit(rate, tokens, START.plusNanos((long) (second * 1e9)))) {
                assertTrue(second - lastAt <= tokens / rate + interval + 1e-6);
                admitted += tokens;
                lastAt = second;
            }
        }
        assertTrue(admitted >= 20 * rate - tokens, admitted + " at " + rate);
        assertTrue(admitted <= 20.5 * rate + 2 * tokens, admitted + " at " + rate);
    }

    @Property(tries = 200, seed = "47")
    void refusesNothingBelowItsRate(
            @ForAll @DoubleRange(min = 50, max = 5000) double rate,
            @ForAll @DoubleRange(min = 0.05, max = 0.98) double used) {
        ShareCredit credit = new ShareCredit();
        double interval = 10 / (rate * used);
        for (int count = 0; count < 200; count++) {
            assertTrue(credit.admit(rate, 10, START.plusNanos((long) (count * interval * 1e9))));
        }
    }

    @Test
    void retriesCoverTheTimeToClearTheBacklogEvenly() {
        RetrySpread spread = new RetrySpread(7);
        TreeSet<Duration> delays = new TreeSet<>();
        for (int count = 0; count < 50; count++) {
            delays.add(spread.next(4000, 1000));
        }
        assertEquals(50, delays.size());
        List<Duration> sorted = List.copyOf(delays);
        assertTrue(sorted.get(0).compareTo(RetrySpread.MINIMUM_DELAY) >= 0);
        for (int index = 1; index < sorted.size(); index++) {
            // Evenly spread, 50 delays in 4 s are 80 ms apart.
            assertTrue(sorted.get(index).minus(sorted.get(index - 1)).toMillis() <= 160);
        }
    }

    /** 70 hosts with the same stale report of a full service send together what it serves. */
    @Test
    void hostsTogetherSendWhatBecomesFree() {
        int sent = 0;
        for (int host = 0; host < 70; host++) {
            SlotPacer pacer = new SlotPacer();
            pacer.start(host / 70.0, START);
            for (int milliseconds = 0; milliseconds <= 10_000; milliseconds += 15) {
                pacer.advance(1 / 70.0, 100, 0, Duration.ofMillis(200), START.plusMillis(milliseconds));
                if (pacer.allowsRequest()) {
                    pacer.recordRequest();
                    sent++;
                }
            }
        }
        assertTrue(sent <= 1000 + 70 && sent >= 1000 - 70, sent + " sent, 1000 served");
    }

    /** A team whose requests fail uses up its own retries, and those of the others are left. */
    @Test
    void retriesOfOneTeamLeaveTheRestToOthers() {
        RetryShares shares = new RetryShares();
        TeamName hot = new TeamName("hot");
        TeamName other = new TeamName("other");
        shares.allows(other, 20, team -> 1, START);
        int granted = 0;
        for (int count = 0; count < 100; count++) {
            if (shares.allows(hot, 20, team -> 1, START)) {
                shares.recordRetry(hot, START);
                granted++;
            }
        }
        assertTrue(granted >= 10 && granted < 20, granted + " of 20");
        while (granted < 20 && shares.allows(other, 20, team -> 1, START)) {
            shares.recordRetry(other, START);
            granted++;
        }
        assertEquals(20, granted, "the rest is left to the other team");
    }
}
