package org.banyanstair.external;

import org.banyanstair.errors.Failure;

/** What is known after an order to an engine. */
public sealed interface EngineCommandResult {
    /** The order took effect. */
    record Done() implements EngineCommandResult {}

    /** The order certainly had and will have no effect. */
    record Refused(Failure failure) implements EngineCommandResult {}

    /** The order may have taken effect or may still do so. */
    record Unknown(Failure failure) implements EngineCommandResult {}
}
