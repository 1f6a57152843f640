package org.banyanstair.versions;

import java.util.Objects;

/**
 * Version of the software of an endpoint, not of its models. Versions have no order; what two of them write does not fit
 * together.
 *
 * @param value as the endpoint names it; empty if it names none
 */
public record SoftwareVersion(String value) implements Comparable<SoftwareVersion> {
    /** Stands for a version that cannot be known; no endpoint has it. */
    public static final SoftwareVersion UNCERTAIN = new SoftwareVersion("\0");

    /** Checks that there is a value. */
    public SoftwareVersion {
        Objects.requireNonNull(value, "value");
    }

    /** Compares names, for an order of output that is always the same. */
    @Override
    public int compareTo(SoftwareVersion other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
