package org.banyanstair.testsupport.fault;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import io.jooby.Context;
import org.banyanstair.codec.Mappers;

/**
 * A complete HTTP request to a stand-in.
 *
 * @param context Jooby context, whose body may have been released
 * @param body not copied; must not be modified
 */
public record Request(Context context, byte[] body) {
    private static final ObjectReader STRICT_READER = Mappers.JSON
            .reader()
            .with(
                    DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES,
                    DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);

    /** Returns a path variable. */
    public String path(String name) {
        return context.path(name).value();
    }

    /**
     * Returns a query parameter.
     *
     * @return empty if the parameter is absent
     */
    public Optional<String> query(String name) {
        return context.query(name).toOptional();
    }

    /**
     * Parses the JSON body; absent properties get the defaults of the type.
     *
     * @throws IllegalArgumentException if the body is malformed
     */
    public <T> T json(Class<T> type) {
        return parse(Mappers.JSON.reader(), type);
    }

    /**
     * Parses the JSON body; rejects absent and null properties.
     *
     * @throws IllegalArgumentException if the body is malformed or a property is absent or null
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
            throw new IllegalArgumentException("the body is not valid JSON of the expected type", exception);
        }
    }
}
