package org.banyanstair.forwarding;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;

import org.banyanstair.model.EndpointId;

/** The limits that endpoints have named of the requests that they take from all hosts together. Not thread-safe. */
final class EndpointLimits {
    private final EventContext context;
    private final Map<EndpointId, Double> limits = new TreeMap<>();

    EndpointLimits(EventContext context) {
        this.context = context;
    }

    /** Applies what a response of an endpoint says. */
    void observe(EndpointState endpoint, RequestLimitNotice notice) {
        notice.unreadable()
                .ifPresent(text -> context.log(
                        DecisionRecord.important("endpoint-limit-ignored", "endpoint", endpoint.id(), "text", text)));
        OptionalDouble limit = notice.perSecond();
        if (limit.isPresent()) {
            Double before = limits.put(endpoint.id(), limit.getAsDouble());
            if (before == null || before != limit.getAsDouble()) {
                context.log(DecisionRecord.important(
                        "endpoint-limit",
                        "endpoint",
                        endpoint.id(),
                        "per-second",
                        Double.toString(limit.getAsDouble())));
            }
        } else if (notice.known() && limits.remove(endpoint.id()) != null) {
            context.log(DecisionRecord.important("endpoint-limit-ended", "endpoint", endpoint.id()));
        }
    }

    boolean isLimited(EndpointId endpoint) {
        return limits.containsKey(endpoint);
    }

    /** Returns the number of endpoints with a limit. */
    int count() {
        return limits.size();
    }
}
