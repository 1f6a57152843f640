package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.model.EndpointId;

/** A request that this host passes on. Not safe for use by several threads. */
final class InFlightRequest {
    final ForwardRequest request;
    final Route route;
    final ServiceDefinition service;
    final Instant arrivedAt;
    final Instant deadline;
    final long[] prefixes;
    final Set<EndpointId> tried = new HashSet<>();
    final Set<EndpointId> loadUnavailable = new HashSet<>();
    Optional<EndpointState> endpoint = Optional.empty();
    boolean sent;
    boolean firstOutput;
    long firstOutputMilliseconds = -1;
    boolean mayHaveRun;
    int attempts;
    int runs;
    int rejections;
    int reminders;
    int cachedTokens;
    Instant sentAt = Instant.MIN;
    double predictedMilliseconds;
    Instant recheckAt = Instant.MIN;
    Optional<Long> lastEvent;

    InFlightRequest(ForwardRequest request, Route route, ServiceDefinition service, Instant now) {
        this.request = request;
        this.route = route;
        this.service = service;
        this.arrivedAt = now;
        Instant limit = now.plus(route.timeout());
        this.deadline = request.callerDeadline().filter(limit::isAfter).orElse(limit);
        this.prefixes = PrefixIndex.hashes(request);
        this.lastEvent = request.resumeAfter();
    }

    /** Returns the tokens that the runner reads for this request alone. */
    int uncachedTokens() {
        return request.inputTokens() - Math.min(request.inputTokens(), cachedTokens);
    }

    /** Returns when the caller gives up if there is no output. */
    Instant firstOutputDeadline() {
        Instant limit = arrivedAt.plus(route.patience());
        return limit.isBefore(deadline) ? limit : deadline;
    }

    /** Returns when the first output is due to be on time. */
    Instant dueAt() {
        return arrivedAt.plus(route.objective());
    }

    int cacheTokens() {
        return service.engine().isPresent() ? request.inputTokens() + request.outputTokens() : 0;
    }

    /** Returns what the log says of an attempt that is given up at an instant because it has had no output. */
    DecisionRecord silenceRecord(Instant now) {
        return DecisionRecord.of(
                "attempt-silent",
                "request",
                request.id(),
                "attempt",
                attempts,
                "endpoint",
                endpoint.orElseThrow().id(),
                "expected-start-ms",
                (long) predictedMilliseconds,
                "after-ms",
                Duration.between(sentAt, now).toMillis());
    }

    /** Returns what the log says of the whole answer at an instant. */
    DecisionRecord answerRecord(AttemptResult.Answered result, Instant now) {
        return DecisionRecord.of(
                "answered",
                "request",
                request.id(),
                "status",
                result.status(),
                "attempts",
                attempts,
                "first-output-ms",
                firstOutputMilliseconds,
                "longest-pause-ms",
                result.longestPause().toMillis(),
                "after-ms",
                Duration.between(arrivedAt, now).toMillis());
    }
}
