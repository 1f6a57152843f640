package org.banyanstair.toml;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.fasterxml.jackson.dataformat.toml.TomlReadFeature;
import org.banyanstair.errors.Failure;

/** Parses TOML files against a typed description and reports all errors of a file at once. Thread-safe. */
public final class StrictToml {
    // Without this feature, an unquoted date would be accepted where a string is expected.
    private static final ObjectMapper MAPPER =
            TomlMapper.builder().enable(TomlReadFeature.PARSE_JAVA_TIME).build();

    private StrictToml() {}

    /**
     * Reads and parses a file.
     *
     * @param type description of the expected content
     * @return the content, or all errors
     */
    public static <T> TomlResult<T> read(Path file, TomlType<T> type) {
        try {
            return parse(file.toString(), Files.readString(file), type);
        } catch (IOException exception) {
            return new TomlResult.Invalid<>(
                    List.of(new Failure.InvalidField(file.toString(), "a readable file in UTF-8")));
        }
    }

    /**
     * Parses a text.
     *
     * @param file file name for error messages
     * @param type description of the expected content
     * @return the content, or all errors
     */
    public static <T> TomlResult<T> parse(String file, String text, TomlType<T> type) {
        TomlValue.ErrorCollector errors = new TomlValue.ErrorCollector(file);
        Optional<T> value;
        try {
            JsonNode tree = MAPPER.readTree(text);
            PositionNode locations = TomlPositionScanner.locate(MAPPER, text);
            value = type.read(new TomlValue(errors, "", tree, locations));
        } catch (JsonProcessingException exception) {
            return new TomlResult.Invalid<>(List.of(malformed(file, text, exception.getLocation())));
        } catch (IOException exception) {
            throw new IllegalStateException("reading from a string failed", exception);
        }
        return errors.count() == 0 && value.isPresent()
                ? new TomlResult.Valid<>(value.get())
                : new TomlResult.Invalid<>(errors.sorted());
    }

    private static Failure malformed(String file, String text, JsonLocation location) {
        Position reported = location == null
                ? Position.START
                : new Position(Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()));
        Position position = TomlPositionScanner.duplicateKey(MAPPER, text)
                .filter(duplicate -> duplicate.isBefore(reported))
                .orElse(reported);
        return new Failure.MalformedInput(file, position.line(), position.column());
    }
}
