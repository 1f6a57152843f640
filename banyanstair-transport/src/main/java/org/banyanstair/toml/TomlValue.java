package org.banyanstair.toml;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.banyanstair.errors.Failure;

/** A value with its path and source position. Not thread-safe. */
public final class TomlValue {
    private final ErrorCollector errors;
    private final String path;
    private final JsonNode node;
    private final PositionNode location;

    TomlValue(ErrorCollector errors, String path, JsonNode node, PositionNode location) {
        this.errors = errors;
        this.path = path;
        this.node = node;
        this.location = location;
    }

    /** Collects the errors of one file. */
    static final class ErrorCollector {
        private final String file;
        private final List<Failure.InvalidSetting> failures = new ArrayList<>();

        ErrorCollector(String file) {
            this.file = file;
        }

        int count() {
            return failures.size();
        }

        List<Failure> sorted() {
            return failures.stream()
                    .sorted(Comparator.comparingInt(Failure.InvalidSetting::line)
                            .thenComparingInt(Failure.InvalidSetting::column))
                    .<Failure>map(failure -> failure)
                    .toList();
        }

        private void add(Position position, String field, String accepted) {
            failures.add(new Failure.InvalidSetting(file, position.line(), position.column(), field, accepted));
        }
    }

    JsonNode node() {
        return node;
    }

    int errorCount() {
        return errors.count();
    }

    TomlValue member(String key) {
        return new TomlValue(errors, memberPath(key), node.get(key), location.member(key));
    }

    TomlValue emptyTable(String key) {
        return new TomlValue(errors, memberPath(key), JsonNodeFactory.instance.objectNode(), location);
    }

    TomlValue element(int index) {
        return new TomlValue(errors, path + "[" + index + "]", node.get(index), location.element(index));
    }

    /**
     * Records that this value is invalid.
     *
     * @param accepted description of the accepted values, which completes "must be"
     * @return empty
     */
    public <T> Optional<T> reject(String accepted) {
        errors.add(location.position(), path.isEmpty() ? "the file" : path, accepted);
        return Optional.empty();
    }

    /** Records an error for a member, at its position, or at the position of the table if the member is missing. */
    void rejectMember(String key, String accepted) {
        errors.add(location.member(key).position(), memberPath(key), accepted);
    }

    private String memberPath(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
