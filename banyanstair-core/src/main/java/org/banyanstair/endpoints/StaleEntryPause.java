package org.banyanstair.endpoints;

import java.time.Duration;
import java.time.Instant;

/**
 * Pause of an endpoint at whose address another process answers, until its entry is written again or, in case that
 * conclusion is wrong, a time that grows with each such answer has passed. Not thread-safe.
 */
public final class StaleEntryPause {
    /** Short, since a single such answer may be a copy of another one. */
    private static final Duration FIRST_TIME = Duration.ofMillis(40);

    private static final Duration MAXIMUM_TIME = Duration.ofSeconds(16);

    private static final int GROWTH = 4;

    private Instant startedAt = Instant.MIN;
    private Instant end = Instant.MIN;
    private Duration time = FIRST_TIME;

    /**
     * Records that another process has answered; returns whether that begins a pause.
     *
     * @param sentAt when the request was sent; one from before the last pause began shows nothing new
     */
    public boolean otherProcessAnswered(Instant sentAt, Instant now) {
        if (isInForce(now) || sentAt.isBefore(startedAt)) {
            return false;
        }
        startedAt = now;
        end = now.plus(time);
        Duration next = time.multipliedBy(GROWTH);
        time = next.compareTo(MAXIMUM_TIME) > 0 ? MAXIMUM_TIME : next;
        return true;
    }

    /** Ends the pause, because the endpoint has written its entry again; a further pause is as long as it would be. */
    public void entryWritten() {
        end = Instant.MIN;
    }

    /** Ends the pause and forgets the earlier ones, because the endpoint itself has answered. */
    public void endpointAnswered() {
        end = Instant.MIN;
        time = FIRST_TIME;
    }

    /** Returns whether the endpoint gets no requests. */
    public boolean isInForce(Instant now) {
        return now.isBefore(end);
    }

    /** Returns when the pause ends. */
    public Instant end() {
        return end;
    }
}
