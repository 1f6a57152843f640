package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LoadDelayEstimatorTest {
    private static final Duration LONGER_BY = Duration.ofMillis(28);

    private final LoadDelayEstimator estimator = new LoadDelayEstimator();
    private Instant now = Instant.ofEpochSecond(100);

    /**
     * Simulates four loads a second that all take longer than expected; returns the number of requests sent too early.
     */
    private int countEarlyRequests(int seconds) {
        int early = 0;
        for (int load = 0; load < seconds * 4; load++) {
            now = now.plusMillis(250);
            if (estimator.margin(now).compareTo(LONGER_BY) < 0) {
                estimator.recordLateLoad(now);
                early++;
            }
        }
        return early;
    }

    @Test
    void mostRequestsWaitLongEnoughForLargerAdapters() {
        int early = countEarlyRequests(60);
        assertTrue(early <= 0.15 * 240, early + " of 240 requests were rejected");
    }

    @Test
    void marginIsBoundedAndDecays() {
        for (int count = 0; count < 50; count++) {
            estimator.recordLateLoad(now);
        }
        assertEquals(Duration.ofMillis(90), estimator.margin(now));
        assertEquals(0, estimator.margin(now.plusSeconds(300)).toMillis());
    }
}
