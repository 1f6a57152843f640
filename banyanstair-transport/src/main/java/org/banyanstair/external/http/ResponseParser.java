package org.banyanstair.external.http;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import org.banyanstair.codec.Mappers;

/** Parses answers of the platform. */
final class ResponseParser {
    /**
     * Reader for answers: unknown properties are ignored, because the platform may extend its answers. Missing ones are
     * refused, because their default would pass for a value, such as offset 0.
     */
    static final ObjectReader JSON = Mappers.JSON
            .reader()
            .without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .with(
                    DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES,
                    DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
                    DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private ResponseParser() {}
}
