package org.banyanstair.testsupport.fault;

import java.io.IOException;
import java.util.Optional;

import io.jooby.Context;
import org.banyanstair.codec.Mappers;

/**
 * A whole HTTP request to a stand-in.
 *
 * @param context the request at the HTTP server; its body may be gone
 * @param body the body, not to be changed
 */
public record Request(Context context, byte[] body) {
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
     * Parses the body.
     *
     * @param type type to parse it as
     * @param <T> the type
     * @return the value
     * @throws IllegalArgumentException if the body is malformed
     */
    public <T> T json(Class<T> type) {
        try {
            return Mappers.JSON.readValue(body, type);
        } catch (IOException exception) {
            throw new IllegalArgumentException("malformed body", exception);
        }
    }
}
