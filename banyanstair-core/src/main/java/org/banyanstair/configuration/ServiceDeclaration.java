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
 * @param kind what it runs on
 * @param pool endpoints that it runs on
 * @param callers callers that it answers
 * @param routes rules for calls of a plain service; a call without a matching route may not be repeated
 * @param queueLimit most requests that may wait, 1 to 100,000
 * @param callerLimit most requests of one caller that may run or wait, 1 to 100,000
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
     * Returns whether a call may be repeated.
     *
     * @return the rule of the longest matching route; false if none matches
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
