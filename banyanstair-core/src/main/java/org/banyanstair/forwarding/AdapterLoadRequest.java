package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;

import org.banyanstair.model.AdapterName;

/**
 * An adapter that requests wait for.
 *
 * @param adapter the adapter
 * @param dueAt when its first request has to start to be on time
 * @param expiresAt when nobody waits for it any more
 */
record AdapterLoadRequest(AdapterName adapter, Instant dueAt, Instant expiresAt) {
    /** Time from the end of a load to the first output of a usual prompt. */
    private static final Duration PROMPT_TIME = Duration.ofMillis(150);

    /** Returns whether a load that starts now still lets the request be on time. */
    boolean canBeOnTime(Instant now) {
        return now.plus(RunnerTimings.ADAPTER_LOAD).plus(PROMPT_TIME).isBefore(dueAt);
    }

    /** Joins the wants of two requests. */
    AdapterLoadRequest merge(AdapterLoadRequest other) {
        return new AdapterLoadRequest(
                adapter,
                dueAt.isBefore(other.dueAt) ? dueAt : other.dueAt,
                expiresAt.isAfter(other.expiresAt) ? expiresAt : other.expiresAt);
    }
}
