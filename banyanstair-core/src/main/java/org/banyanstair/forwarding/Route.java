package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.List;

/**
 * Destination and properties of the requests with a host name and path prefix.
 *
 * @param host host name that callers use
 * @param pathPrefix prefix of the path, beginning and ending with a slash
 * @param streaming whether answers are event streams
 * @param idempotent whether a request may run more than once
 * @param resumable whether a stream may be resumed on another endpoint
 * @param timeout maximum time until the end of the answer
 * @param objective time within which an answer, or the first event of a stream, counts as on time
 * @param patience maximum time that a caller waits for the first output
 * @param maximumAttempts maximum number of endpoints that may run one request
 * @param rank urgency; 0 is the most urgent
 * @param open whether requests need no key
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
        boolean open,
        List<RouteTarget> targets) {
    /** Copies the targets. */
    public Route {
        targets = List.copyOf(targets);
        if (targets.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no target");
        }
    }

    /**
     * Selects the service for a request.
     *
     * @param point a value from 0 to 1 that stays the same for the same request
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

    /** Returns whether requests may go to a service. */
    boolean hasTarget(String service) {
        return targets.stream().anyMatch(target -> target.service().equals(service));
    }

    /** Returns whether a request that may have run may be sent again. */
    boolean allowsRerun() {
        return idempotent && !streaming || streaming && resumable;
    }
}
