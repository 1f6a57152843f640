package org.banyanstair.external;

import org.banyanstair.errors.Failure;

/** What is known after an append to the log. */
public sealed interface AppendResult {
    /** The records are in the log. */
    record Appended(long firstOffset) implements AppendResult {}

    /** The records are certainly not in the log. */
    record Rejected(Failure failure) implements AppendResult {}

    /** The records may or may not be in the log; only reading it settles that. */
    record Unknown(Failure failure) implements AppendResult {}
}
