package org.banyanstair.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a data centre.
 *
 * @param value name that satisfies {@link Names#check}
 */
public record DataCentre(@JsonValue String value) implements Comparable<DataCentre> {
    /** Checks the name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public DataCentre {
        Names.check("data centre", value);
    }

    @Override
    public int compareTo(DataCentre other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
