package org.banyanstair.toml;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** A table of the file, whose keys are read one by one; a key that nobody reads is an error. */
public final class TomlTable {
    private final TomlValue value;
    private final Set<String> readKeys = new TreeSet<>();

    TomlTable(TomlValue value) {
        this.value = value;
    }

    /**
     * Reads a key that must be present.
     *
     * @param key the key
     * @param type accepted values
     * @param <T> type of the value
     * @return the field
     */
    public <T> TomlField<T> required(String key, TomlType<T> type) {
        readKeys.add(key);
        if (!has(key)) {
            value.rejectMember(key, "present: " + type.accepted());
            return new TomlField<>(Optional.empty());
        }
        return new TomlField<>(type.read(value.member(key)));
    }

    /**
     * Reads a key that may be missing.
     *
     * @param key the key
     * @param type accepted values
     * @param defaultValue value of a missing key
     * @param <T> type of the value
     * @return the field
     */
    public <T> TomlField<T> optional(String key, TomlType<T> type, T defaultValue) {
        readKeys.add(key);
        return new TomlField<>(has(key) ? type.read(value.member(key)) : Optional.of(defaultValue));
    }

    /**
     * Reads a key that may be missing and has no default.
     *
     * @param key the key
     * @param type accepted values
     * @param <T> type of the value
     * @return the field, with an empty value for a missing key
     */
    public <T> TomlField<Optional<T>> optional(String key, TomlType<T> type) {
        readKeys.add(key);
        return new TomlField<>(
                has(key) ? type.read(value.member(key)).map(Optional::of) : Optional.of(Optional.empty()));
    }

    /**
     * Reads a table that may be missing, in which case the defaults of its keys hold.
     *
     * @param key the key
     * @param type the table
     * @param <T> type of the value
     * @return the field
     */
    public <T> TomlField<T> optionalTable(String key, TomlType<T> type) {
        readKeys.add(key);
        TomlValue member = has(key) ? value.member(key) : value.emptyTable(key);
        return new TomlField<>(type.read(member));
    }

    /**
     * Reads all keys of a table whose keys are names that the operator chooses.
     *
     * @param type accepted values
     * @param <T> type of the values
     * @return valid values by key, in file order
     */
    public <T> Map<String, T> entries(TomlType<T> type) {
        Map<String, T> entries = new LinkedHashMap<>();
        for (String key : keys()) {
            required(key, type).ifValid(entry -> entries.put(key, entry));
        }
        return entries;
    }

    /**
     * Records an error of a key, for checks across keys.
     *
     * @param key the key
     * @param accepted words that complete "must be"
     */
    public void reject(String key, String accepted) {
        value.rejectMember(key, accepted);
    }

    void rejectUnknownKeys() {
        for (String key : keys()) {
            if (!readKeys.contains(key)) {
                value.rejectMember(key, "a known key, one of " + String.join(", ", readKeys));
            }
        }
    }

    private boolean has(String key) {
        return value.node().has(key);
    }

    private List<String> keys() {
        List<String> keys = new ArrayList<>();
        for (Iterator<String> names = value.node().fieldNames(); names.hasNext(); ) {
            keys.add(names.next());
        }
        return keys;
    }
}
