package org.banyanstair.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a request of a caller; unique across all hosts and restarts.
 *
 * @param value assigned by the entry host; at most 80 characters
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
