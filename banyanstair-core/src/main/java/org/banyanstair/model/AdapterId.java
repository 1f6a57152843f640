package org.banyanstair.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a LoRA adapter within a service.
 *
 * @param value name that satisfies {@link Names#check}
 */
public record AdapterId(@JsonValue String value) implements Comparable<AdapterId> {
    /** Checks the name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public AdapterId {
        Names.check("adapter", value);
    }

    @Override
    public int compareTo(AdapterId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
