package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.Optional;

/** Computes after what time the caller of a refused request may retry. */
final class RetryAfterPolicy {
    /** Delay for a starting host, about the time of a read of the configuration, or until other hosts are used. */
    static final Duration NOT_READY_DELAY = Duration.ofMillis(300);

    /**
     * Delay for a service without an endpoint, or without a runner for the adapter: a part of the time until one is
     * back.
     */
    private static final Duration NO_ENDPOINT_DELAY = Duration.ofMillis(700);

    /** Minimum delay for an overloaded service. */
    private static final Duration MINIMUM_DELAY = Duration.ofMillis(200);

    /** Maximum delay; the state of the service cannot be predicted further ahead. */
    private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(3);

    /**
     * Maximum delay for a team over its allotment; the time in which the units for refused requests come back is known,
     * and the delay is different for each request already.
     */
    private static final Duration MAXIMUM_ALLOTMENT_DELAY = Duration.ofSeconds(20);

    /** Maximum jitter as a share of the delay, so that callers refused together do not retry together. */
    private static final double JITTER_SHARE = 0.5;

    private RetryAfterPolicy() {}

    /**
     * Returns the delay before a retry; empty if a retry is useless.
     *
     * @param startMilliseconds expected time until the request could have started
     * @param objective time within which it should have started
     * @param seed source of the jitter; the same for the same request
     */
    static Optional<Duration> retryAfter(
            RefusalReason reason, double startMilliseconds, Duration objective, long seed) {
        double jitter = 1 + JITTER_SHARE * ((seed >>> 7 & 0xFF) / 255.0);
        return switch (reason) {
            case NOT_READY, STOPPING -> Optional.of(NOT_READY_DELAY);
            case NO_ROUTE,
                    UNKNOWN_KEY,
                    CRASHES_ENDPOINTS,
                    DEADLINE_PASSED,
                    STREAM_VERSION_UNKNOWN,
                    STREAM_VERSION_GONE -> Optional.empty();
            case NO_ENDPOINT, ADAPTER_UNAVAILABLE, HOST_MEMORY -> Optional.of(scale(NO_ENDPOINT_DELAY, jitter));
            case ENDPOINTS_PAUSED -> Optional.of(
                    scale(Duration.ofMillis((long) Math.max(MINIMUM_DELAY.toMillis(), startMilliseconds)), jitter));
            case KEYS_UNCONFIRMED -> Optional.of(scale(NO_ENDPOINT_DELAY, jitter));
            case ENDPOINTS_LIMITED, SHARE_EXCEEDED -> Optional.of(scale(limit(startMilliseconds), jitter));
            case ALLOTMENT_EXHAUSTED -> Optional.of(Duration.ofMillis((long) Math.max(
                    MINIMUM_DELAY.toMillis(), Math.min(MAXIMUM_ALLOTMENT_DELAY.toMillis(), startMilliseconds))));
            case OVERLOADED -> {
                double wait = startMilliseconds - objective.toMillis();
                yield Optional.of(scale(limit(wait), jitter));
            }
        };
    }

    private static Duration limit(double milliseconds) {
        return Duration.ofMillis(
                (long) Math.max(MINIMUM_DELAY.toMillis(), Math.min(MAXIMUM_DELAY.toMillis(), milliseconds)));
    }

    private static Duration scale(Duration duration, double factor) {
        return Duration.ofMillis((long) (duration.toMillis() * factor));
    }
}
