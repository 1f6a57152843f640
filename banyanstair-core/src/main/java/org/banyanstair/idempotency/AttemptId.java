package org.banyanstair.idempotency;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one attempt to run a non-idempotent call; a new attempt is made for each submission to a writer.
 *
 * @param value text that is unique over all hosts and restarts
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
