package org.banyanstair.cli.explain;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import org.banyanstair.codec.Mappers;

/**
 * An entry of the decision log of a host.
 *
 * @param at time of the decision, by the clock of the host
 * @param kind kind of decision
 * @param fields inputs and outcome, in the order of the log
 */
public record LogLine(Instant at, String host, String kind, Map<String, Object> fields) {
    private static final TypeReference<LinkedHashMap<String, Object>> FIELDS = new TypeReference<>() {};

    /** Copies the fields. */
    public LogLine {
        fields = new LinkedHashMap<>(fields);
    }

    /**
     * Parses a log line.
     *
     * @param text the line; a prefix before the first brace, such as a timestamp, is skipped
     * @return the entry; empty if the line is not a decision
     */
    public static Optional<LogLine> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            Map<String, Object> fields = Mappers.JSON.readValue(text.substring(start), FIELDS);
            Object at = fields.remove("at");
            Object host = fields.remove("host");
            Object kind = fields.remove("kind");
            return at == null || host == null || kind == null
                    ? Optional.empty()
                    : Optional.of(new LogLine(Instant.parse(at.toString()), host.toString(), kind.toString(), fields));
        } catch (JsonProcessingException | DateTimeParseException exception) {
            return Optional.empty();
        }
    }

    /** Returns a field as text, empty if the entry does not have it. */
    public Optional<String> text(String name) {
        return Optional.ofNullable(fields.get(name)).map(Object::toString);
    }
}
