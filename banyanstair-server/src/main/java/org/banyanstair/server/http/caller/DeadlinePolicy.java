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
 * @param defaultWait time until the deadline of a request that names none
 * @param longestWait longest accepted time until a deadline; the retention of the log streams is chosen for it
 */
public record DeadlinePolicy(Clock clock, Duration defaultWait, Duration longestWait) {
    /**
     * Returns the deadline of a request that names none.
     *
     * @return the deadline
     */
    Instant byDefault() {
        return clock.instant().plus(defaultWait);
    }

    /**
     * Checks a deadline.
     *
     * @param deadline deadline that the caller named
     * @return the deadline
     * @throws FailureException with {@link Failure.DeadlinePassed} or {@link Failure.DeadlineTooFar}
     */
    Instant check(Instant deadline) {
        Instant now = clock.instant();
        if (!deadline.isAfter(now)) {
            throw new FailureException(new Failure.DeadlinePassed(deadline));
        }
        Instant latest = now.plus(longestWait);
        if (deadline.isAfter(latest)) {
            throw new FailureException(new Failure.DeadlineTooFar(deadline, latest));
        }
        return deadline;
    }
}
