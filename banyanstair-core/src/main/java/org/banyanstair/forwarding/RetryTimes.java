package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.Optional;

/** When callers whose request was refused may return. */
final class RetryTimes {
    /** For a host that starts: about the time of a read of the configuration from the platform. */
    static final Duration NOT_READY = Duration.ofMillis(300);

    /** For a service without endpoints or a runner for the adapter: a part of the time in which one comes back. */
    private static final Duration NOTHING_THERE = Duration.ofMillis(700);

    /** Shortest time for a service that is overloaded. */
    private static final Duration SHORTEST = Duration.ofMillis(200);

    /** Longest time: beyond it the state of the service is anyone's guess. */
    private static final Duration LONGEST = Duration.ofSeconds(3);

    /** Share by which returns are spread, so that callers refused together do not return together. */
    private static final double SPREAD = 0.5;

    private RetryTimes() {}

    /**
     * Finds when a refused request may return.
     *
     * @param reason why it was refused
     * @param startMilliseconds time until it could have started
     * @param objective time in which it should have started
     * @param seed spreads the returns; the same for the same request
     * @return the time; empty if coming back is of no use
     */
    static Optional<Duration> after(RefusalReason reason, double startMilliseconds, Duration objective, long seed) {
        double spread = 1 + SPREAD * ((seed >>> 7 & 0xFF) / 255.0);
        return switch (reason) {
            case NOT_READY -> Optional.of(NOT_READY);
            case NO_ROUTE, CRASHES_ENDPOINTS, DEADLINE_PASSED -> Optional.empty();
            case NO_ENDPOINT, ADAPTER_UNAVAILABLE -> Optional.of(scale(NOTHING_THERE, spread));
            case OVERLOADED -> {
                double wait = Math.max(SHORTEST.toMillis(), startMilliseconds - objective.toMillis());
                yield Optional.of(scale(Duration.ofMillis((long) Math.min(LONGEST.toMillis(), wait)), spread));
            }
        };
    }

    private static Duration scale(Duration duration, double factor) {
        return Duration.ofMillis((long) (duration.toMillis() * factor));
    }
}
