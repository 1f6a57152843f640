package org.banyanstair.external;

import org.banyanstair.errors.Failure;

/** Result of a command to an engine. */
public sealed interface EngineCommandResult {
    /** The command took effect. */
    record Done() implements EngineCommandResult {}

    /** The command had no effect and will have none. */
    record Refused(Failure failure) implements EngineCommandResult {}

    /** The command may have taken effect or may still take effect. */
    record Unknown(Failure failure) implements EngineCommandResult {}
}
