package org.banyanstair.cli.operator;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.banyanstair.errors.Failure;

/** Parses the error envelope of the operator API: {@code {"error":{..., "details":{...}}}}. */
final class ErrorEnvelopeParser {
    private ErrorEnvelopeParser() {}

    /**
     * Returns the failure in the details of an error response; empty if there is none or its type is unknown to this
     * release.
     */
    static Optional<Failure> parse(ObjectMapper mapper, byte[] body) {
        try {
            JsonNode details = mapper.readTree(body).path("error").path("details");
            return details.isObject() ? Optional.of(mapper.treeToValue(details, Failure.class)) : Optional.empty();
        } catch (IOException exception) {
            return Optional.empty();
        }
    }
}
