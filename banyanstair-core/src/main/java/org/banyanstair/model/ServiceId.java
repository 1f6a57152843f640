package org.banyanstair.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a service.
 *
 * @param value name that satisfies {@link Names#check}
 */
public record ServiceId(@JsonValue String value) implements Comparable<ServiceId> {
    /** Checks the name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ServiceId {
        Names.check("service", value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
