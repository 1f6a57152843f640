package org.banyanstair.toml;

import java.util.Optional;

/**
 * Describes the values that a key accepts.
 *
 * @param <T> Java type of the value
 */
@FunctionalInterface
public interface TomlType<T> {
    /**
     * Reads a value.
     *
     * @param value the value as it stands in the file
     * @return the value, empty if it was rejected; a type that returns empty has recorded at least one error
     */
    Optional<T> read(TomlValue value);

    /**
     * Describes the accepted values for error messages about a missing key.
     *
     * @return words that complete "must be"
     */
    default String accepted() {
        return "a value";
    }
}
