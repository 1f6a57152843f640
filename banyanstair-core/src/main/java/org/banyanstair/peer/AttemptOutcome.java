package org.banyanstair.peer;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.errors.Failure;

/** How an attempt at an endpoint ended, as told to the pool owner. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "outcome")
public sealed interface AttemptOutcome {
    /** The whole answer came. */
    record Completed() implements AttemptOutcome {}

    /** The caller gave up or the deadline passed; the attempt was cancelled at the endpoint. */
    record Cancelled() implements AttemptOutcome {}

    /** The endpoint did not start the request. */
    record NotStarted(Failure failure) implements AttemptOutcome {}

    /** The endpoint failed while it ran the request. */
    record Broken(Failure failure, long tokensDelivered) implements AttemptOutcome {}
}
