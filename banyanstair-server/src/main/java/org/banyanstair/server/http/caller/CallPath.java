package org.banyanstair.server.http.caller;

import java.nio.charset.StandardCharsets;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.ServiceId;

/**
 * Target of a plain service call.
 *
 * @param service the service
 * @param path path below the service as the caller sent it, starting with a slash
 * @param query query including its question mark, empty for none
 */
record CallPath(ServiceId service, String path, String query) {
    private static final String PREFIX = "/services/";

    /**
     * Parses a request target.
     *
     * <p>Paths with dot segments, plain or encoded, are rejected: the service would resolve them after route matching,
     * so that a call could reach a non-idempotent path under the rule of an idempotent one.
     */
    static CallPath parse(String uri) {
        int queryStart = uri.indexOf('?');
        String fullPath = queryStart < 0 ? uri : uri.substring(0, queryStart);
        String query = queryStart < 0 ? "" : uri.substring(queryStart);
        if (!fullPath.startsWith(PREFIX)) {
            throw invalidPath();
        }
        int slash = fullPath.indexOf('/', PREFIX.length());
        String service = fullPath.substring(PREFIX.length(), slash < 0 ? fullPath.length() : slash);
        String path = slash < 0 ? "/" : fullPath.substring(slash);
        checkSegments(path);
        return new CallPath(new ServiceId(service), path, query);
    }

    private static void checkSegments(String path) {
        for (String segment : decode(path).split("[/\\\\]")) {
            int parameter = segment.indexOf(';');
            String name = parameter < 0 ? segment : segment.substring(0, parameter);
            if (name.equals(".") || name.equals("..")) {
                throw invalidPath();
            }
        }
    }

    private static String decode(String path) {
        try {
            return java.net.URLDecoder.decode(path, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException exception) {
            throw invalidPath();
        }
    }

    private static FailureException invalidPath() {
        return new FailureException(
                new Failure.InvalidField("path", "/services/{service}/... with valid escapes and no dot segments"));
    }
}
