package org.banyanstair.configuration;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.ServiceId;

/**
 * A service as operators declare it.
 *
 * @param kind type of the endpoints that serve it
 * @param pool pool of the endpoints that serve it
 * @param callers callers that may use it
 * @param routes idempotency rules of a plain service; a call without a matching route is non-idempotent
 * @param queueLimit maximum waiting requests, 1 to 100,000
 * @param callerLimit maximum running and waiting requests per caller, 1 to 100,000
 */
public record ServiceDeclaration(
        ServiceId id,
        ServiceKind kind,
        PoolId pool,
        Set<CallerId> callers,
        List<Route> routes,
        Objective objective,
        int queueLimit,
        int callerLimit) {
    private static final int MAXIMUM_LIMIT = 100_000;

    /** Checks the limits and copies the collections. */
    public ServiceDeclaration {
        checkLimit("service.queue-limit", queueLimit);
        checkLimit("service.caller-limit", callerLimit);
        callers = java.util.Collections.unmodifiableSet(new TreeSet<>(callers));
        routes = List.copyOf(routes);
    }

    private static void checkLimit(String field, int value) {
        if (value < 1 || value > MAXIMUM_LIMIT) {
            throw new FailureException(new Failure.InvalidField(field, "a whole number from 1 to " + MAXIMUM_LIMIT));
        }
    }

    /**
     * Returns whether a call may be retried.
     *
     * @return the value of the matching route with the longest prefix; false if none matches
     */
    public boolean isRepeatable(String method, String path) {
        return routes.stream()
                .filter(route -> route.matches(method, path))
                .max(java.util.Comparator.comparingInt(
                        route -> route.pathPrefix().length()))
                .map(Route::repeatable)
                .orElse(false);
    }
}
