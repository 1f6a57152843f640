package org.banyanstair.external;

import org.banyanstair.errors.Failure;

/** What is known after an order to an engine. */
public sealed interface OrderResult {
    /** The order took effect. */
    record Done() implements OrderResult {}

    /**
     * The order certainly had and will have no effect.
     *
     * @param failure why
     */
    record Refused(Failure failure) implements OrderResult {}

    /**
     * The order may have taken effect or may still do so.
     *
     * @param failure why
     */
    record Unknown(Failure failure) implements OrderResult {}
}
