package org.banyanstair.idempotency;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.ServiceAnswer;

/** What the caller of a non-idempotent call is told. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "outcome")
public sealed interface CallAnswer {
    /**
     * The service answered.
     *
     * @param repeated whether it is the recorded answer of an earlier request with the same key
     */
    record Answered(ServiceAnswer answer, boolean repeated) implements CallAnswer {}

    /** The call was not executed and never will be for this request. */
    record NotRun(Failure failure) implements CallAnswer {}

    /** The call may have been executed. */
    record Unknown(Failure failure) implements CallAnswer {}
}
