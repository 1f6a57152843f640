package org.banyanstair.toml;

import java.util.Optional;

/**
 * Description of the values that a key accepts.
 *
 * @param <T> Java type of the value
 */
@FunctionalInterface
public interface TomlType<T> {
    /**
     * Reads a value.
     *
     * @return the value, empty if it was rejected; in that case at least one error was recorded
     */
    Optional<T> read(TomlValue value);

    /**
     * Describes the accepted values, for the error message about a missing key.
     *
     * @return a phrase that completes "must be"
     */
    default String accepted() {
        return "a value";
    }
}
