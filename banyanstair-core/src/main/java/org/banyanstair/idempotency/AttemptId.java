package org.banyanstair.idempotency;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one attempt to execute a non-idempotent call; each writer that a call is submitted to gets a new attempt.
 *
 * @param value text that is unique across all hosts and restarts
 */
public record AttemptId(@JsonValue String value) {
    /** Creates the id. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public AttemptId {}

    @Override
    public String toString() {
        return value;
    }
}
