package org.banyanstair.server.http.operator;

import java.util.regex.Pattern;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.server.http.JsonBody;

/** Parses configuration changes. */
final class ConfigurationChangeParser {
    /** Valid change ids; the id is also a path segment of the interface. */
    private static final Pattern CHANGE_ID = Pattern.compile("[A-Za-z0-9._-]{1,80}");

    private ConfigurationChangeParser() {}

    /**
     * Parses a change and sets its author.
     *
     * @throws FailureException with {@link Failure.MalformedInput} or {@link Failure.InvalidField}
     */
    static ConfigurationChange parse(byte[] body, String author) {
        ObjectNode object = JsonBody.parse(body);
        require(
                CHANGE_ID.matcher(object.path("changeId").asText("")).matches(),
                "changeId",
                "1 to 80 letters, digits, '.', '_' and '-'");
        // A missing number would be deserialized as 0, which is a valid version.
        require(object.path("baseVersion").isIntegralNumber(), "baseVersion", "a whole number");
        require(object.path("operations").isArray(), "operations", "a list of operations");
        object.put("author", author);
        try {
            return Mappers.JSON.treeToValue(object, ConfigurationChange.class);
        } catch (JsonProcessingException exception) {
            throw toFailure(exception);
        }
    }

    private static void require(boolean condition, String field, String accepted) {
        if (!condition) {
            throw new FailureException(new Failure.InvalidField(field, accepted));
        }
    }

    private static FailureException toFailure(JsonProcessingException exception) {
        for (Throwable cause = exception.getCause(); cause != null; cause = cause.getCause()) {
            if (cause instanceof FailureException known) {
                return known;
            }
        }
        String field = exception instanceof JsonMappingException mapping ? fieldPath(mapping) : "";
        return new FailureException(
                new Failure.InvalidField(field.isEmpty() ? "body" : field, "as the format of changes defines it"));
    }

    private static String fieldPath(JsonMappingException exception) {
        return exception.getPath().stream()
                .map(step -> step.getFieldName() == null ? "[" + step.getIndex() + "]" : "." + step.getFieldName())
                .collect(Collectors.joining())
                .replaceFirst("^\\.", "");
    }
}
