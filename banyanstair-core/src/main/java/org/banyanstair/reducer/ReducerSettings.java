package org.banyanstair.reducer;

import java.time.Duration;

import org.banyanstair.placement.PlacementPolicy;

/**
 * Intervals and limits of the decisions; turned into deadlines where they are used.
 *
 * @param callBatchDelay time for which intents are gathered before one append
 * @param keyRetention time that an idempotency key is kept after the deadline of its call
 * @param attemptRetention time that a writer keeps the answer of an attempt for repeated submissions
 * @param retryInterval time after which an unanswered message or append is repeated
 * @param answerGracePeriod time after a call's deadline in which its writer may still answer
 * @param maximumDispatches endpoints to which a call is offered while it is proved that none got it
 * @param changeTimeout time after which an operator is told that the outcome of a change is not known
 * @param ownerTimeout time that a pool owner may be unreachable before its pools get new owners
 * @param statusInterval time between two status reads of an engine
 * @param statusLag time by which an engine's status may lag behind
 * @param hostListLag time by which the host list may lag behind
 * @param logRetention time that the log service keeps records
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
    /** Defaults for small clusters. */
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
