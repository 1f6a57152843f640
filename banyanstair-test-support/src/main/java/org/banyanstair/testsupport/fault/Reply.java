package org.banyanstair.testsupport.fault;

import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.banyanstair.codec.Mappers;

/**
 * A whole HTTP answer of a stand-in.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the body, not to be changed
 */
public record Reply(int status, String contentType, byte[] body) {
    /**
     * Creates an answer with a JSON body.
     *
     * @param status HTTP status
     * @param value value that is written as the body
     * @return the answer
     */
    public static Reply json(int status, Object value) {
        try {
            return new Reply(status, "application/json", Mappers.JSON.writeValueAsBytes(value));
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException(exception);
        }
    }

    /**
     * Creates an error answer.
     *
     * @param status HTTP status
     * @param code stable code of the error
     * @return an answer of the form {@code {"error":code}}
     */
    public static Reply error(int status, String code) {
        return json(status, Map.of("error", code));
    }
}
