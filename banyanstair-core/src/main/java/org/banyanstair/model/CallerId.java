package org.banyanstair.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a caller.
 *
 * @param value name that satisfies {@link Names#check}
 */
public record CallerId(@JsonValue String value) implements Comparable<CallerId> {
    /** Checks the name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public CallerId {
        Names.check("caller", value);
    }

    @Override
    public int compareTo(CallerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
