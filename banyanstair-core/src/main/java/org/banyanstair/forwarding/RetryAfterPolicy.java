package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.Optional;

/** When callers whose request was refused may return. */
final class RetryAfterPolicy {
    /** For a host that starts: about the time of a read of the configuration from the platform. */
    static final Duration NOT_READY_DELAY = Duration.ofMillis(300);

    /** For a service without endpoints or a runner for the adapter: a part of the time in which one comes back. */
    private static final Duration NO_ENDPOINT_DELAY = Duration.ofMillis(700);

    /** Shortest time for a service that is overloaded. */
    private static final Duration MINIMUM_DELAY = Duration.ofMillis(200);

    /** Longest time: beyond it the state of the service is anyone's guess. */
    private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(3);

    /** Share by which returns are spread, so that callers refused together do not return together. */
    private static final double JITTER_SHARE = 0.5;

    private RetryAfterPolicy() {}

    /**
     * Finds when a refused request may return.
     *
     * @param reason why it was refused
     * @param startMilliseconds time until it could have started
     * @param objective time in which it should have started
     * @param seed spreads the returns; the same for the same request
     * @return the time; empty if coming back is of no use
     */
    static Optional<Duration> retryAfter(
            RefusalReason reason, double startMilliseconds, Duration objective, long seed) {
        double jitter = 1 + JITTER_SHARE * ((seed >>> 7 & 0xFF) / 255.0);
        return switch (reason) {
            case NOT_READY -> Optional.of(NOT_READY_DELAY);
            case NO_ROUTE, CRASHES_ENDPOINTS, DEADLINE_PASSED -> Optional.empty();
            case NO_ENDPOINT, ADAPTER_UNAVAILABLE -> Optional.of(scale(NO_ENDPOINT_DELAY, jitter));
            case OVERLOADED -> {
                double wait = Math.max(MINIMUM_DELAY.toMillis(), startMilliseconds - objective.toMillis());
                yield Optional.of(scale(Duration.ofMillis((long) Math.min(MAXIMUM_DELAY.toMillis(), wait)), jitter));
            }
        };
    }

    private static Duration scale(Duration duration, double factor) {
        return Duration.ofMillis((long) (duration.toMillis() * factor));
    }
}
