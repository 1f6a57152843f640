package org.banyanstair.idempotency;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.ServiceAnswer;

/** The three outcomes of a call; they are never confused. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "outcome")
public sealed interface CallAnswer {
    /**
     * The service answered.
     *
     * @param answer the answer of the service
     * @param repeated whether it is the recorded answer of an earlier request with the same key
     */
    record Answered(ServiceAnswer answer, boolean repeated) implements CallAnswer {}

    /**
     * The call did not run and this request never will.
     *
     * @param failure why
     */
    record NotRun(Failure failure) implements CallAnswer {}

    /**
     * The call may have run.
     *
     * @param failure why
     */
    record Unknown(Failure failure) implements CallAnswer {}
}
