package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;

import org.banyanstair.model.AdapterName;

/**
 * A pending request to load an adapter.
 *
 * @param dueAt when the first waiting request has to start to be on time
 * @param expiresAt when the last waiting request is abandoned
 */
record AdapterLoadRequest(AdapterName adapter, Instant dueAt, Instant expiresAt) {
    /** Time from the end of a load to the first output for a usual prompt. */
    private static final Duration PROMPT_TIME = Duration.ofMillis(150);

    /** Returns whether a load that starts now is done in time for the request. */
    boolean canBeOnTime(Instant now) {
        return now.plus(RunnerTimings.ADAPTER_LOAD).plus(PROMPT_TIME).isBefore(dueAt);
    }

    /** Merges two requests for the same adapter. */
    AdapterLoadRequest merge(AdapterLoadRequest other) {
        return new AdapterLoadRequest(
                adapter,
                dueAt.isBefore(other.dueAt) ? dueAt : other.dueAt,
                expiresAt.isAfter(other.expiresAt) ? expiresAt : other.expiresAt);
    }
}
