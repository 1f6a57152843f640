package org.banyanstair.server.http;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/** Parses request bodies that must be JSON objects. Numbers keep their exact digits. */
public final class JsonBody {
    private static final ObjectReader READER = Mappers.JSON
            .readerFor(JsonNode.class)
            .with(JsonNodeFactory.withExactBigDecimals(true))
            .with(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS, DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private JsonBody() {}

    /**
     * Parses a body.
     *
     * @throws FailureException with {@link Failure.MalformedInput} if it is not JSON, and with {@link
     *     Failure.InvalidField} if it is not an object
     */
    public static ObjectNode parse(byte[] body) {
        if (read(body) instanceof ObjectNode object) {
            return object;
        }
        throw new FailureException(new Failure.InvalidField("body", "a JSON object"));
    }

    private static JsonNode read(byte[] body) {
        try {
            return READER.readTree(body);
        } catch (JsonProcessingException exception) {
            JsonLocation location = exception.getLocation();
            int line = location == null ? 1 : location.getLineNr();
            int column = location == null ? 1 : location.getColumnNr();
            throw new FailureException(new Failure.MalformedInput("body", line, column));
        } catch (IOException exception) {
            throw new FailureException(new Failure.MalformedInput("body", 1, 1));
        }
    }
}
