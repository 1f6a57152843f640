package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.List;

/**
 * Where the requests of a host name and path prefix go, and what they tolerate.
 *
 * @param name name of the route
 * @param host host name that callers use
 * @param pathPrefix prefix of the path, beginning and ending with a slash
 * @param streaming whether answers are event streams
 * @param idempotent whether a request may run more than once
 * @param resumable whether a stream may continue on another endpoint
 * @param timeout longest time that a caller is kept waiting
 * @param objective time in which an answer (or the first event) is on time
 * @param patience longest time that a caller waits for the first output
 * @param maximumAttempts most endpoints that may run one request
 * @param rank urgency, 0 is the most urgent
 * @param targets services that share the requests
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        boolean streaming,
        boolean idempotent,
        boolean resumable,
        Duration timeout,
        Duration objective,
        Duration patience,
        int maximumAttempts,
        int rank,
        List<RouteTarget> targets) {
    /** Copies the targets. */
    public Route {
        targets = List.copyOf(targets);
        if (targets.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no target");
        }
    }

    /**
     * Picks the service for a request.
     *
     * @param point a value from 0 to 1 that stays the same for the same request
     * @return name of the service
     */
    public String serviceFor(double point) {
        double total = targets.stream().mapToDouble(RouteTarget::weight).sum();
        double remaining = point * total;
        for (RouteTarget target : targets) {
            remaining -= target.weight();
            if (remaining < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }

    /** Returns whether a request may run again after it may have run. */
    boolean allowsRerun() {
        return idempotent && !streaming || streaming && resumable;
    }
}
