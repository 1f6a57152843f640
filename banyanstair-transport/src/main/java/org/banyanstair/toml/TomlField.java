package org.banyanstair.toml;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Result of reading a key of a table.
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
     * @throws java.util.NoSuchElementException if the value was rejected
     */
    @Override
    public T get() {
        return value.orElseThrow();
    }

    /** Passes the value to the consumer if it is valid; used for checks across keys and tables. */
    public void ifValid(Consumer<T> consumer) {
        value.ifPresent(consumer);
    }
}
