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

    /** Explicit, like {@link #hashCode}, because the methods of a record are slow until C2 has compiled them. */
    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointId same && value.equals(same.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
