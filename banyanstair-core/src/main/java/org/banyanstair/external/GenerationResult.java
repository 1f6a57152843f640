package org.banyanstair.external;

import org.banyanstair.errors.Failure;

/** Result of a generation on an engine. */
public sealed interface GenerationResult {
    /** All tokens were delivered. */
    record Complete() implements GenerationResult {}

    /** The engine did not start the generation. */
    record NotStarted(Failure failure) implements GenerationResult {}

    /** The token stream ended prematurely; the engine may still be running the generation. */
    record Broken(Failure failure) implements GenerationResult {}
}
