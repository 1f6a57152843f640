package org.banyanstair.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a preset.
 *
 * @param value name that satisfies {@link Names#check}
 */
public record PresetId(@JsonValue String value) implements Comparable<PresetId> {
    /** Checks the name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public PresetId {
        Names.check("preset", value);
    }

    @Override
    public int compareTo(PresetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
