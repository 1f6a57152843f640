package org.banyanstair.server.http.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import org.banyanstair.codec.Mappers;

/**
 * Rewrites engine chunks as events for the caller, with the id of the request and the name of the adapter version.
 *
 * <p>Processes JSON tokens instead of trees, because it runs once per generated token.
 */
final class ChunkRewriter {
    private static final byte[] PREFIX = "data: ".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] SUFFIX = "\n\n".getBytes(StandardCharsets.US_ASCII);
    private static final int EXPECTED_GROWTH_BYTES = 160;

    private final JsonFactory factory = Mappers.JSON.getFactory();
    private final String id;
    private final String model;
    private final boolean includeUsage;

    ChunkRewriter(String id, String model, boolean includeUsage) {
        this.id = id;
        this.model = model;
        this.includeUsage = includeUsage;
    }

    /**
     * Rewrites one chunk.
     *
     * @param json chunk of the engine
     * @return the event; empty for the usage chunk if the caller did not request it
     * @throws IOException if the chunk is not a JSON object
     */
    Optional<byte[]> rewrite(String json) throws IOException {
        ByteArrayOutputStream event = new ByteArrayOutputStream(json.length() + EXPECTED_GROWTH_BYTES);
        event.write(PREFIX);
        boolean isUsageChunk;
        try (JsonParser parser = factory.createParser(json);
                JsonGenerator generator = factory.createGenerator(event)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("engine chunk is not a JSON object");
            }
            generator.writeStartObject();
            generator.writeStringField("id", id);
            generator.writeStringField("model", model);
            isUsageChunk = copyFields(parser, generator);
            generator.writeEndObject();
        }
        event.write(SUFFIX);
        return isUsageChunk && !includeUsage ? Optional.empty() : Optional.of(event.toByteArray());
    }

    private boolean copyFields(JsonParser parser, JsonGenerator generator) throws IOException {
        boolean hasUsage = false;
        boolean hasChoices = false;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            hasUsage |= field.equals("usage") && value == JsonToken.START_OBJECT;
            if (field.equals("id") || field.equals("model") || field.equals("usage") && !includeUsage) {
                parser.skipChildren();
                continue;
            }
            generator.writeFieldName(field);
            if (field.equals("choices") && value == JsonToken.START_ARRAY) {
                hasChoices |= copyArray(parser, generator);
            } else {
                generator.copyCurrentStructure(parser);
            }
        }
        return hasUsage && !hasChoices;
    }

    /** Copies an array and returns whether it has elements. */
    private static boolean copyArray(JsonParser parser, JsonGenerator generator) throws IOException {
        boolean hasElements = false;
        generator.writeStartArray();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            generator.copyCurrentStructure(parser);
            hasElements = true;
        }
        generator.writeEndArray();
        return hasElements;
    }
}
