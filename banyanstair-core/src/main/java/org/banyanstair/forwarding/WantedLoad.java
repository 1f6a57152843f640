package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;

import org.banyanstair.model.AdapterName;

/**
 * An adapter that requests wait for.
 *
 * @param adapter the adapter
 * @param dueAt when its first request has to start to be on time
 * @param until when nobody waits for it any more
 */
record WantedLoad(AdapterName adapter, Instant dueAt, Instant until) {
    /** Time from the end of a load to the first output of a usual prompt. */
    private static final Duration PROMPT = Duration.ofMillis(150);

    /** Returns whether a load that starts now still lets the request be on time. */
    boolean canBeOnTime(Instant now) {
        return now.plus(ServiceTimes.ADAPTER_LOAD).plus(PROMPT).isBefore(dueAt);
    }

    /** Joins the wants of two requests. */
    WantedLoad and(WantedLoad other) {
        return new WantedLoad(
                adapter,
                dueAt.isBefore(other.dueAt) ? dueAt : other.dueAt,
                until.isAfter(other.until) ? until : other.until);
    }
}
