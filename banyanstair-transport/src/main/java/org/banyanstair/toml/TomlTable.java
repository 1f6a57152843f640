package org.banyanstair.toml;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** A table whose keys are read one by one. Keys that have not been read are reported as unknown. */
public final class TomlTable {
    private final TomlValue value;
    private final Set<String> readKeys = new TreeSet<>();

    TomlTable(TomlValue value) {
        this.value = value;
    }

    /**
     * Reads a required key.
     *
     * @param type accepted values
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
     * Reads an optional key with a default.
     *
     * @param type accepted values
     * @param defaultValue value if the key is missing
     */
    public <T> TomlField<T> optional(String key, TomlType<T> type, T defaultValue) {
        readKeys.add(key);
        return new TomlField<>(has(key) ? type.read(value.member(key)) : Optional.of(defaultValue));
    }

    /**
     * Reads an optional key without a default.
     *
     * @param type accepted values
     * @return the field, whose value is empty if the key is missing
     */
    public <T> TomlField<Optional<T>> optional(String key, TomlType<T> type) {
        readKeys.add(key);
        return new TomlField<>(
                has(key) ? type.read(value.member(key)).map(Optional::of) : Optional.of(Optional.empty()));
    }

    /**
     * Reads an optional table. If it is missing, it is read as an empty table, so that the defaults of its keys apply.
     */
    public <T> TomlField<T> optionalTable(String key, TomlType<T> type) {
        readKeys.add(key);
        TomlValue member = has(key) ? value.member(key) : value.emptyTable(key);
        return new TomlField<>(type.read(member));
    }

    /**
     * Reads all keys of a table whose keys are names chosen by the operator.
     *
     * @param type accepted values
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
     * Records an error for a key, for checks across keys.
     *
     * @param accepted description of the accepted values, which completes "must be"
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
