package org.banyanstair.external;

import org.banyanstair.errors.Failure;

/** Result of an append to the log. */
public sealed interface AppendResult {
    /** The records were stored; {@code firstOffset} is the offset of the first one. */
    record Appended(long firstOffset) implements AppendResult {}

    /** The records were definitely not stored. */
    record Rejected(Failure failure) implements AppendResult {}

    /** The records may or may not have been stored; only reading the stream shows which. */
    record Unknown(Failure failure) implements AppendResult {}
}
