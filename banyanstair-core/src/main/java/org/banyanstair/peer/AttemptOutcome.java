package org.banyanstair.peer;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.errors.Failure;

/** Outcome of an attempt on an endpoint, as reported to the pool owner. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "outcome")
public sealed interface AttemptOutcome {
    /** The response was received completely. */
    record Completed() implements AttemptOutcome {}

    /** The caller disconnected or the deadline passed; the attempt was cancelled on the endpoint. */
    record Cancelled() implements AttemptOutcome {}

    /** The endpoint did not start the request. */
    record NotStarted(Failure failure) implements AttemptOutcome {}

    /** The endpoint failed while it ran the request. */
    record Broken(Failure failure, long tokensDelivered) implements AttemptOutcome {}
}
