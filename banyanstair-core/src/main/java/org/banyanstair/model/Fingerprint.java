package org.banyanstair.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Digest of caller, model and body of a request, equal when a caller sends the same request again.
 *
 * @param value hexadecimal digest
 */
public record Fingerprint(@JsonValue String value) implements Comparable<Fingerprint> {
    /** Creates the fingerprint. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Fingerprint {}

    @Override
    public int compareTo(Fingerprint other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
