package org.banyanstair.toml;

import java.util.List;

import org.banyanstair.errors.Failure;

/**
 * Outcome of reading a TOML file.
 *
 * @param <T> type of the value that the file describes
 */
public sealed interface TomlResult<T> {
    /**
     * Returns the errors.
     *
     * @return all errors in the order in which they stand in the file; empty for a valid file
     */
    List<Failure> failures();

    /**
     * The file is valid.
     *
     * @param value what it describes
     */
    record Valid<T>(T value) implements TomlResult<T> {
        @Override
        public List<Failure> failures() {
            return List.of();
        }
    }

    /**
     * The file cannot be used.
     *
     * @param failures all errors, in the order in which they stand in the file; at least one
     */
    record Invalid<T>(List<Failure> failures) implements TomlResult<T> {
        /** Copies the list. */
        public Invalid {
            failures = List.copyOf(failures);
        }
    }
}
