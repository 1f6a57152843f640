package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;

/**
 * Pause that an endpoint has asked this host for, and the careful return after it: until a request succeeds or a short
 * time has passed, only a few are sent. Not thread-safe.
 */
final class RequestedPause {
    /** Requests that show whether the endpoint accepts some again. */
    private static final int TRIAL_REQUESTS = 2;

    /** Time after the pause in which only trial requests are sent, unless one succeeds earlier. */
    private static final Duration TRIAL_PERIOD = Duration.ofMillis(500);

    private Instant end = Instant.MIN;
    private Instant trialEnd = Instant.MIN;
    private int trials;

    /** Extends the pause; an earlier end than the known one changes nothing. Returns whether it was extended. */
    boolean extend(Instant until) {
        if (!until.isAfter(end)) {
            return false;
        }
        end = until;
        trialEnd = until.plus(TRIAL_PERIOD);
        trials = 0;
        return true;
    }

    Instant end() {
        return end;
    }

    boolean isInForce(Instant now) {
        return now.isBefore(end);
    }

    /** Returns whether a request may be sent now. */
    boolean allowsRequest(Instant now) {
        return !now.isBefore(trialEnd) || !isInForce(now) && trials < TRIAL_REQUESTS;
    }

    void recordRequest() {
        trials++;
    }

    void recordSuccess(Instant now) {
        if (!isInForce(now)) {
            trialEnd = Instant.MIN;
        }
    }

    /** Forgets the pause, because it was asked for by an earlier process. */
    void clear() {
        end = Instant.MIN;
        trialEnd = Instant.MIN;
    }
}
