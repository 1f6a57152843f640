package org.banyanstair.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against parts of a limit that hosts with the same knowledge may exceed together. */
class LimitSharesTest {
    private static final EndpointId ENDPOINT = new EndpointId("i-1");

    private static final double WINDOW_SECONDS = 4;

    /** Longest time from the count of a loan until its use. */
    private static final double LOAN_SECONDS = 0.5;

    private static final double ROUNDING = 1e-6;

    @Property(tries = 500)
    void allPartsTogetherStayWithinTheBoundInAnyWindow(
            @ForAll @Size(min = 1, max = 80) List<@DoubleRange(min = 0, max = 50) Double> demands,
            @ForAll @DoubleRange(min = 0.25, max = 100) double limit,
            @ForAll boolean lending) {
        Map<HostId, Double> byHost = new HashMap<>();
        demands.forEach(demand -> byHost.put(new HostId("host-" + byHost.size()), demand));
        LimitShares.Division division = LimitShares.divide(ENDPOINT, "shop", limit, byHost, lending);
        double rate = 0;
        double burst = 0;
        for (HostId host : byHost.keySet()) {
            Optional<LimitShares.Share> share = LimitShares.shareOf(host, limit, byHost, division);
            rate += share.map(LimitShares.Share::perSecond).orElse(0.0);
            burst += share.map(LimitShares.Share::burst).orElse(0.0);
        }
        assertTrue(rate <= limit + ROUNDING, rate + " of " + limit);
        double window = WINDOW_SECONDS + (division.lend() ? LOAN_SECONDS : 0);
        assertTrue(window * rate + burst <= 1.5 * WINDOW_SECONDS * limit + 5 + ROUNDING);
    }

    @Test
    void onlyHostWithDemandHasTheWholeLimit() {
        Map<HostId, Double> demands = Map.of(new HostId("a"), 3.0, new HostId("b"), 0.0);
        LimitShares.Division division = LimitShares.divide(ENDPOINT, "shop", 2, demands, true);
        assertEquals(
                2.0,
                LimitShares.shareOf(new HostId("a"), 2, demands, division)
                        .orElseThrow()
                        .perSecond());
        assertTrue(LimitShares.shareOf(new HostId("b"), 2, demands, division).isEmpty());
    }

    /** A host that sends whenever it may, and whose part changes. */
    @Property(tries = 300)
    void pacerKeepsEachWindowWithinItsRateAndBurst(
            @ForAll @DoubleRange(min = 0.1, max = 20) double perSecond,
            @ForAll @IntRange(min = 1, max = 5) int burst,
            @ForAll @IntRange(min = 1, max = 700) int step) {
        RequestPacer pacer = new RequestPacer();
        Instant start = Instant.ofEpochSecond(100);
        pacer.setShare(Optional.of(new LimitShares.Share(perSecond, burst, 0.5)), start);
        List<Instant> sent = new ArrayList<>();
        for (Instant now = start; now.isBefore(start.plusSeconds(12)); now = now.plusMillis(step)) {
            while (!now.isBefore(pacer.nextRequestAt())) {
                pacer.recordRequest(now);
                sent.add(now);
            }
        }
        for (Instant first : sent) {
            Instant end = first.plus(Duration.ofSeconds((long) WINDOW_SECONDS));
            long count = sent.stream()
                    .filter(at -> !at.isBefore(first) && at.isBefore(end))
                    .count();
            assertTrue(count <= WINDOW_SECONDS * perSecond + burst + 1, count + " at " + perSecond + " and " + burst);
        }
    }
}
