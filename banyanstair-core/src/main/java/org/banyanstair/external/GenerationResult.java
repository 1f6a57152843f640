package org.banyanstair.external;

import org.banyanstair.errors.Failure;

/** How a generation at an engine ended. */
public sealed interface GenerationResult {
    /** All tokens were delivered. */
    record Complete() implements GenerationResult {}

    /** The engine did not start the request. */
    record NotStarted(Failure failure) implements GenerationResult {}

    /** The stream ended early; the engine may still run the request. */
    record Broken(Failure failure) implements GenerationResult {}
}
