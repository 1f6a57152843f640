package org.banyanstair.testsupport.fault;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import io.jooby.Context;
import org.banyanstair.codec.Mappers;

/**
 * A whole HTTP request to a stand-in.
 *
 * @param context the request at the HTTP server; its body may be gone
 * @param body the body, not to be changed
 */
public record Request(Context context, byte[] body) {
    private static final ObjectReader STRICT_READER = Mappers.JSON
            .reader()
            .with(
                    DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES,
                    DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);

    /**
     * Returns a variable of the path.
     *
     * @param name name of the variable
     * @return its value
     */
    public String path(String name) {
        return context.path(name).value();
    }

    /**
     * Returns a parameter of the query.
     *
     * @param name name of the parameter
     * @return its value, empty if it is absent
     */
    public Optional<String> query(String name) {
        return context.query(name).toOptional();
    }

    /**
     * Parses the body; absent properties get the defaults of the type.
     *
     * @param type type to parse it as
     * @param <T> the type
     * @return the value
     * @throws IllegalArgumentException if the body is malformed
     */
    public <T> T json(Class<T> type) {
        return parse(Mappers.JSON.reader(), type);
    }

    /**
     * Parses the body; absent properties are refused.
     *
     * @param type type to parse it as
     * @param <T> the type
     * @return the value
     * @throws IllegalArgumentException if the body is malformed or incomplete
     */
    public <T> T strictJson(Class<T> type) {
        return parse(STRICT_READER, type);
    }

    private <T> T parse(ObjectReader reader, Class<T> type) {
        try {
            T value = reader.forType(type).readValue(body);
            if (value == null) {
                throw new IllegalArgumentException("the body must not be null");
            }
            return value;
        } catch (IOException exception) {
            throw new IllegalArgumentException("malformed body", exception);
        }
    }
}
