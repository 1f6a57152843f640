package org.banyanstair.teams;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a team.
 *
 * @param value name, not blank
 */
public record TeamName(@JsonValue String value) implements Comparable<TeamName> {
    /** Checks the name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public TeamName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("the name of a team is blank");
        }
    }

    @Override
    public int compareTo(TeamName other) {
        return value.compareTo(other.value);
    }

    /** Explicit, like {@link #hashCode}, because the methods of a record are slow until C2 has compiled them. */
    @Override
    public boolean equals(Object other) {
        return other instanceof TeamName same && value.equals(same.value);
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
