package org.banyanstair.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** Counts crashes by their times. */
final class CrashTimes {
    private CrashTimes() {}

    /** Counts instants in ascending order, those that are closer together than a limit once. */
    static int countDistinct(List<Instant> ascending, Duration limit) {
        int count = 0;
        Instant last = Instant.MIN;
        for (Instant instant : ascending) {
            if (count == 0 || Duration.between(last, instant).compareTo(limit) >= 0) {
                count++;
                last = instant;
            }
        }
        return count;
    }
}
