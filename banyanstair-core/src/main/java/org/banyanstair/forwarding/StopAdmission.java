package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides which requests a host that is shutting down still sends to endpoints: those that can be complete in time.
 *
 * <p>Not thread-safe.
 */
final class StopAdmission {
    private final RunTimeEstimator runTimes = new RunTimeEstimator();
    private StopSchedule schedule = StopSchedule.NEVER;

    void start(StopSchedule stopSchedule) {
        schedule = stopSchedule;
    }

    /** Records how long a request took that was answered. */
    void recordAnswered(InFlightRequest inFlight, Instant now) {
        Instant firstOutputAt = inFlight.firstOutput ? inFlight.firstOutputAt : now;
        runTimes.record(
                inFlight.route,
                inFlight.request,
                Duration.between(inFlight.arrivedAt, firstOutputAt),
                Duration.between(firstOutputAt, now),
                now);
    }

    /**
     * Returns whether a request may be sent. One that may have run already is not refused, since it cannot be told that
     * it has not run.
     */
    boolean allows(InFlightRequest inFlight, Instant now) {
        if (inFlight.mayHaveRun || !inFlight.latestDeadline.isAfter(schedule.deadline())) {
            return true;
        }
        return now.isBefore(schedule.estimatesUntil())
                && runTimes.expectedEnd(inFlight.route, inFlight.request, now)
                        .filter(end -> !end.isAfter(schedule.deadline()))
                        .isPresent();
    }
}
