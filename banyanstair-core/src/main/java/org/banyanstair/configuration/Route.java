package org.banyanstair.configuration;

import java.util.regex.Pattern;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/**
 * Declares whether the calls of a plain service with a method and a path prefix are idempotent.
 *
 * @param method HTTP method in upper case
 * @param pathPrefix prefix of the path below the service, starting with a slash
 * @param repeatable whether the call is idempotent and may be retried
 */
public record Route(String method, String pathPrefix, boolean repeatable) {
    private static final Pattern METHOD = Pattern.compile("GET|HEAD|POST|PUT|PATCH|DELETE");

    /** Checks method and prefix. */
    public Route {
        if (method == null || !METHOD.matcher(method).matches()) {
            throw new FailureException(
                    new Failure.InvalidField("route.method", "one of GET, HEAD, POST, PUT, PATCH, DELETE"));
        }
        if (pathPrefix == null || !pathPrefix.startsWith("/")) {
            throw new FailureException(new Failure.InvalidField("route.path-prefix", "a path that starts with '/'"));
        }
    }

    boolean matches(String callMethod, String path) {
        return method.equals(callMethod) && path.startsWith(pathPrefix);
    }
}
