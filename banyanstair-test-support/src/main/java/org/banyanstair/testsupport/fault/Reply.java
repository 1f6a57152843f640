package org.banyanstair.testsupport.fault;

import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.banyanstair.codec.Mappers;

/**
 * A complete HTTP response of a stand-in.
 *
 * @param contentType media type of the body
 * @param body not copied; must not be modified
 */
public record Reply(int status, String contentType, byte[] body) {
    /**
     * Creates a response with a JSON body.
     *
     * @param value serializable by Jackson
     */
    public static Reply json(int status, Object value) {
        try {
            return new Reply(status, "application/json", Mappers.JSON.writeValueAsBytes(value));
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException(exception);
        }
    }

    /**
     * Creates an error response with the body {@code {"error":code}}.
     *
     * @param code stable code of the error
     */
    public static Reply error(int status, String code) {
        return json(status, Map.of("error", code));
    }
}
