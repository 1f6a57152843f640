package org.banyanstair.external;

import org.banyanstair.errors.Failure;

/** Result of a call of a plain service. */
public sealed interface ServiceCallResult {
    /** The service sent a complete answer. */
    record Answered(ServiceAnswer answer) implements ServiceCallResult {}

    /** No byte of the call reached the service. */
    record NotSent(Failure failure) implements ServiceCallResult {}

    /** The service may have executed the call. */
    record OutcomeUnknown(Failure failure) implements ServiceCallResult {}
}
