package org.banyanstair.external.http;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import org.banyanstair.codec.Mappers;

/** Parses responses of the log service and the host list. */
final class ResponseParser {
    /**
     * JSON reader for responses. Unknown properties are ignored, because later versions of the services may add some.
     * Missing properties are rejected, because a primitive default such as offset 0 would be taken for a real value.
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
