package org.banyanstair.server.http.caller;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/**
 * Default and limit of request deadlines.
 *
 * @param clock clock that deadlines are compared with
 * @param defaultTimeout time until the deadline of a request without an explicit one
 * @param maximumTimeout maximum time until a deadline; the retention of the log streams depends on it
 */
public record DeadlinePolicy(Clock clock, Duration defaultTimeout, Duration maximumTimeout) {
    /** Returns the deadline of a request without an explicit one. */
    Instant defaultDeadline() {
        return clock.instant().plus(defaultTimeout);
    }

    /**
     * Validates and returns a deadline.
     *
     * @param deadline deadline requested by the caller
     * @throws FailureException with {@link Failure.DeadlinePassed} or {@link Failure.DeadlineTooFar}
     */
    Instant check(Instant deadline) {
        Instant now = clock.instant();
        if (!deadline.isAfter(now)) {
            throw new FailureException(new Failure.DeadlinePassed(deadline));
        }
        Instant latest = now.plus(maximumTimeout);
        if (deadline.isAfter(latest)) {
            throw new FailureException(new Failure.DeadlineTooFar(deadline, latest));
        }
        return deadline;
    }
}
