package org.banyanstair.allotments;

import java.time.Duration;
import java.time.Instant;

/** Times as numbers of seconds. */
final class Seconds {
    private static final double NANOS = 1e9;

    private Seconds() {}

    /** Returns the time between two instants; 0 if the second is not later. */
    static double between(Instant start, Instant end) {
        return end.isAfter(start) ? of(Duration.between(start, end)) : 0;
    }

    static double of(Duration duration) {
        return duration.getSeconds() + duration.getNano() / NANOS;
    }

    static Duration toDuration(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }
}
