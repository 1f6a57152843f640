package org.banyanstair.allotments;

import java.time.Duration;
import java.util.Objects;

/**
 * Whether a request was charged to its team.
 *
 * @param admitted whether it was charged and may run
 * @param delay time until units are available again; zero if admitted
 * @param spread time after that over which refused requests should return, so that each finds units; zero if admitted
 */
public record ChargeResult(boolean admitted, Duration delay, Duration spread) {
    static final ChargeResult ADMITTED = new ChargeResult(true, Duration.ZERO, Duration.ZERO);

    public ChargeResult {
        Objects.requireNonNull(delay, "delay");
        Objects.requireNonNull(spread, "spread");
    }
}
