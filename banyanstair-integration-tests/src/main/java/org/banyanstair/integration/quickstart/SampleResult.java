package org.banyanstair.integration.quickstart;

import java.time.Duration;
import java.util.List;

import org.banyanstair.model.HostId;
import org.banyanstair.testsupport.load.CallerResult;

/**
 * The attempts of a sample request and its latency.
 *
 * @param attempts attempts in the order in which they were sent, at least one
 * @param latency time from the first attempt to the final result
 */
record SampleResult(SampleRequest request, List<Attempt> attempts, Duration latency) {
    /** Copies the list. */
    SampleResult {
        attempts = List.copyOf(attempts);
    }

    /** One time that a request was sent. */
    record Attempt(HostId host, CallerResult result) {
        /** Returns whether the connection was lost before the response was complete. */
        boolean isConnectionLost() {
            return result instanceof CallerResult.Unknown unknown
                    && unknown.code().equals("connection_lost");
        }
    }

    CallerResult last() {
        return attempts.get(attempts.size() - 1).result();
    }

    boolean isAnswered() {
        return last() instanceof CallerResult.Generated
                || last() instanceof CallerResult.ServiceAnswered answered && answered.status() / 100 == 2;
    }
}
