package org.banyanstair.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an entry host.
 *
 * @param value name that satisfies {@link Names#check}
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    /** Checks the name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public HostId {
        Names.check("host", value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    /** Explicit, like {@link #hashCode}, because the methods of a record are slow until C2 has compiled them. */
    @Override
    public boolean equals(Object other) {
        return other instanceof HostId same && value.equals(same.value);
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
