package org.banyanstair.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an endpoint.
 *
 * @param value name that satisfies {@link Names#check}
 */
public record EndpointId(@JsonValue String value) implements Comparable<EndpointId> {
    /** Checks the name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public EndpointId {
        Names.check("endpoint", value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
