package org.banyanstair.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one caller request; unique over all hosts and restarts.
 *
 * @param value text that the entry host assigns, of at most 80 characters
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {
    /** Creates the id. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestId {}

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
