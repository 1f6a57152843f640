package org.banyanstair.toml;

import java.util.List;

import org.banyanstair.errors.Failure;

/**
 * Result of parsing a TOML file.
 *
 * @param <T> type of the value that the file describes
 */
public sealed interface TomlResult<T> {
    /** Returns all errors in the order of the file; empty if the file is valid. */
    List<Failure> failures();

    /**
     * The file is valid.
     *
     * @param value the parsed value
     */
    record Valid<T>(T value) implements TomlResult<T> {
        @Override
        public List<Failure> failures() {
            return List.of();
        }
    }

    /**
     * The file is invalid.
     *
     * @param failures all errors in the order of the file; at least one
     */
    record Invalid<T>(List<Failure> failures) implements TomlResult<T> {
        /** Copies the list. */
        public Invalid {
            failures = List.copyOf(failures);
        }
    }
}
