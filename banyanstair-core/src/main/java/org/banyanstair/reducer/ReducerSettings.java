package org.banyanstair.reducer;

import java.time.Duration;

import org.banyanstair.placement.PlacementPolicy;

/**
 * Intervals, timeouts and limits of a host.
 *
 * @param callBatchDelay how long intents of non-idempotent calls are batched before they are appended
 * @param keyRetention how long an idempotency key is kept after the deadline of its call
 * @param attemptRetention how long after its deadline a writer keeps an answered attempt for repeated submissions
 * @param retryInterval time after which an unanswered message or unconfirmed append is sent again
 * @param answerGracePeriod time after a call's deadline in which the answer of its writer is still accepted
 * @param maximumDispatches most endpoints that a call is dispatched to as long as none has received it
 * @param changeTimeout time after which a submitted change is answered with an unknown outcome
 * @param ownerTimeout time that a pool owner may be unreachable before another host claims its pools
 * @param statusInterval interval between two status reads of an engine
 * @param statusLag maximum staleness of an engine's status
 * @param hostListLag maximum staleness of the host list
 * @param logRetention retention period of the log service
 */
public record ReducerSettings(
        Duration callBatchDelay,
        Duration keyRetention,
        Duration attemptRetention,
        Duration retryInterval,
        Duration answerGracePeriod,
        int maximumDispatches,
        Duration changeTimeout,
        Duration ownerTimeout,
        Duration statusInterval,
        Duration statusLag,
        Duration hostListLag,
        Duration logRetention,
        PlacementPolicy placement) {
    /** Default settings, for small clusters. */
    public static final ReducerSettings DEFAULT = new ReducerSettings(
            Duration.ofMillis(25),
            Duration.ofMinutes(30),
            Duration.ofMinutes(1),
            Duration.ofSeconds(1),
            Duration.ofMillis(500),
            3,
            Duration.ofSeconds(8),
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            Duration.ofSeconds(3),
            Duration.ofSeconds(5),
            Duration.ofHours(1),
            PlacementPolicy.STANDARD);
}
