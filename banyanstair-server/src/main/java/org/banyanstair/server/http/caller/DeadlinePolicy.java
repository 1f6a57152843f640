package org.banyanstair.server.http.caller;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/**
 * Which deadlines of callers are accepted.
 *
 * @param clock clock that deadlines are compared with
 * @param defaultTimeout time until the deadline of a request that names none
 * @param maximumTimeout longest accepted time until a deadline; the retention of the log streams is chosen for it
 */
public record DeadlinePolicy(Clock clock, Duration defaultTimeout, Duration maximumTimeout) {
    /** Returns the deadline of a request that names none. */
    Instant defaultDeadline() {
        return clock.instant().plus(defaultTimeout);
    }

    /**
     * Checks a deadline.
     *
     * @param deadline deadline that the caller named
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
