package org.banyanstair.toml;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A key of a table that has been read.
 *
 * @param <T> type of its value
 */
public final class TomlField<T> implements Supplier<T> {
    private final Optional<T> value;

    TomlField(Optional<T> value) {
        this.value = value;
    }

    /**
     * Returns the value. A table calls its builder only if all of its keys are valid.
     *
     * @return the value
     * @throws java.util.NoSuchElementException if the value was rejected
     */
    @Override
    public T get() {
        return value.orElseThrow();
    }

    /**
     * Passes the value on if it is valid, for checks across tables.
     *
     * @param consumer receives the value
     */
    public void ifValid(Consumer<T> consumer) {
        value.ifPresent(consumer);
    }
}
