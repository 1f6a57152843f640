package org.banyanstair.integration.quickstart;

import java.time.Duration;
import java.util.List;

import org.banyanstair.model.HostId;
import org.banyanstair.testsupport.load.CallerResult;

/**
 * How a sample request ended.
 *
 * @param attempts each time that it was sent, in order
 * @param latency time from the first send to the last outcome
 */
record SampleResult(SampleRequest request, List<Attempt> attempts, Duration latency) {
    /** Copies the list. */
    SampleResult {
        attempts = List.copyOf(attempts);
    }

    /** One time that a request was sent. */
    record Attempt(HostId host, CallerResult result) {
        /** Returns whether the connection broke before the whole response had come. */
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
