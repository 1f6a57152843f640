package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;

/** Applies what endpoints say about themselves in their responses. Not thread-safe. */
final class EndpointNotices {
    /** Limit of a requested pause, so that a wrong value does not put an endpoint out of use for good. */
    private static final Duration MAXIMUM_PAUSE = Duration.ofMinutes(10);

    /** Largest share by which a host extends a requested pause. */
    private static final double PAUSE_SPREAD = 0.1;

    private final EventContext context;
    private final HostId self;
    private final PlatformView view;
    private final EndpointLimits limits;

    EndpointNotices(EventContext context, HostId self, PlatformView view, EndpointLimits limits) {
        this.context = context;
        this.self = self;
        this.view = view;
        this.limits = limits;
    }

    /**
     * Applies a notice, unless an earlier process of the endpoint may have sent it.
     *
     * @param sentAt when the request was sent that the endpoint responded to
     * @return whether the endpoint gets no requests for now because of this notice
     */
    boolean apply(EndpointId id, Instant sentAt, EndpointNotice notice) {
        Optional<EndpointState> endpoint = view.endpoint(id).filter(known -> !known.mayPrecedeRestart(sentAt));
        if (endpoint.isEmpty()) {
            return false;
        }
        notice.unreadablePause()
                .ifPresent(text ->
                        context.log(DecisionRecord.important("endpoint-pause-ignored", "endpoint", id, "text", text)));
        limits.observe(endpoint.get(), notice.limit());
        boolean leaves = notice.leaving() && startLeaving(endpoint.get());
        boolean pauses = notice.pauseUntil()
                .filter(until -> extendPause(endpoint.get(), until))
                .isPresent();
        return leaves || pauses;
    }

    private boolean startLeaving(EndpointState endpoint) {
        boolean isNew = endpoint.announceLeaving();
        if (isNew) {
            context.log(DecisionRecord.important(
                    "endpoint-leaving",
                    "endpoint",
                    endpoint.id(),
                    "started",
                    endpoint.listing().started(),
                    "source",
                    "answer"));
        }
        return isNew;
    }

    private boolean extendPause(EndpointState endpoint, Instant requested) {
        Instant end = spread(endpoint.id(), requested);
        boolean extended = endpoint.requestedPause().extend(end);
        if (extended) {
            context.log(DecisionRecord.important(
                    "endpoint-pause",
                    "endpoint",
                    endpoint.id(),
                    "started",
                    endpoint.listing().started(),
                    "for-ms",
                    Duration.between(context.now(), end).toMillis()));
        }
        return extended;
    }

    /** Limits a pause, and spreads its end, so that not all hosts return at the same moment. */
    private Instant spread(EndpointId endpoint, Instant requested) {
        long milliseconds = Math.min(
                MAXIMUM_PAUSE.toMillis(),
                Duration.between(context.now(), requested).toMillis());
        int hash = self.hashCode() * 31 + endpoint.hashCode();
        double share = PAUSE_SPREAD * Math.floorMod(hash, 256) / 256;
        return context.now().plusMillis((long) (milliseconds * (1 + share)));
    }

    /** Returns the earliest end of a requested pause; empty if an endpoint of the service is in use, or none paused. */
    Optional<Instant> soonestPauseEnd(String service) {
        Instant now = context.now();
        List<EndpointState> endpoints = view.endpointsOf(service);
        if (endpoints.stream().anyMatch(endpoint -> endpoint.acceptsRequests(now))) {
            return Optional.empty();
        }
        return endpoints.stream()
                .filter(endpoint -> endpoint.condition(now) == EndpointCondition.PAUSED
                        && endpoint.requestedPause().isInForce(now))
                .map(endpoint -> endpoint.requestedPause().end())
                .min(Instant::compareTo);
    }
}
