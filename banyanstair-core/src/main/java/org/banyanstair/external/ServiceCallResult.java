package org.banyanstair.external;

import org.banyanstair.errors.Failure;

/** What is known after a call of a plain service. */
public sealed interface ServiceCallResult {
    /** The service answered. */
    record Answered(ServiceAnswer answer) implements ServiceCallResult {}

    /** Proved that no byte of the call reached the service. */
    record NotSent(Failure failure) implements ServiceCallResult {}

    /** The call may have run. */
    record OutcomeUnknown(Failure failure) implements ServiceCallResult {}
}
