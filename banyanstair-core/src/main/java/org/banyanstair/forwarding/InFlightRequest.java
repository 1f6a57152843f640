package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.banyanstair.model.EndpointId;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamName;
import org.banyanstair.teams.TeamTable;
import org.banyanstair.versions.SoftwareVersion;

/** State of a request that this host forwards. Not thread-safe. */
final class InFlightRequest {
    final ForwardRequest request;
    final Route route;
    final ServiceDefinition service;
    Optional<Team> team;
    final Instant arrivedAt;
    final Instant deadline;
    final Instant latestDeadline;
    final long[] prefixes;
    final Set<EndpointId> tried = new HashSet<>();
    final Set<EndpointId> loadUnavailable = new HashSet<>();
    Optional<EndpointState> endpoint = Optional.empty();
    final Instant readAt;
    final long readDelayMilliseconds;
    boolean sent;
    boolean waitsForSlot;
    boolean firstOutput;
    boolean outputReported;
    Instant firstOutputAt = Instant.MIN;
    long firstOutputMilliseconds = -1;
    boolean mayHaveRun;
    int attempts;
    int runs;
    int rejections;
    int reminders;
    int cachedTokens;
    Instant sentAt = Instant.MIN;
    int runningAtStart;
    double predictedMilliseconds;
    Instant recheckAt = Instant.MIN;
    Optional<Long> lastEvent;

    /** The only version that may run the request, because it began the stream. */
    Optional<SoftwareVersion> version = Optional.empty();

    /** Whether the version is that of an attempt of this request, and not of an earlier request of the caller. */
    boolean versionOfOwnAttempt;

    boolean awaitsVersion;

    /** Whether the request waits for another host that may lend it a part of a limit. */
    boolean awaitsLoan;

    int loanRequests;

    /** Version of the current endpoint when the request was sent to it. */
    SoftwareVersion sentVersion = new SoftwareVersion("");

    /** Units that were charged to {@link #chargedTeam}, 0 for none. */
    double charged;

    /** The team that was charged; the key may have moved to another one since. */
    Optional<TeamName> chargedTeam = Optional.empty();

    InFlightRequest(
            ForwardRequest request,
            Route route,
            ServiceDefinition service,
            Optional<Team> team,
            Instant arrivedAt,
            Instant readAt) {
        this.request = request;
        this.route = route;
        this.service = service;
        this.team = team;
        this.arrivedAt = arrivedAt;
        Instant limit = arrivedAt.plus(route.timeout());
        this.deadline = request.callerDeadline().filter(limit::isAfter).orElse(limit);
        this.readAt = readAt;
        this.readDelayMilliseconds = Duration.between(arrivedAt, readAt).toMillis();
        this.latestDeadline = deadline.plus(Duration.between(arrivedAt, readAt));
        this.prefixes = PrefixIndex.hashes(request);
        this.lastEvent = request.resumeAfter();
    }

    /**
     * Returns when the request fails if its answer is not complete. One that may have arrived later than assumed is not
     * cut off in the middle of its answer.
     */
    Instant failureDeadline() {
        return firstOutputMilliseconds >= 0 ? latestDeadline : deadline;
    }

    /** Returns whether an endpoint may run the request by its software version. */
    boolean allowsVersionOf(EndpointState endpoint, Instant now) {
        return version.isEmpty()
                || !version.get().equals(SoftwareVersion.UNCERTAIN)
                        && version.get().equals(endpoint.softwareVersion(now));
    }

    /** Returns the version of the process that writes the first output of the current attempt. */
    SoftwareVersion versionOfOutput() {
        boolean sameVersion = endpoint.orElseThrow().listing().softwareVersion().equals(sentVersion);
        boolean knownProcess = version.isPresent() || !endpoint.get().mayPrecedeRestart(sentAt);
        return sameVersion || knownProcess ? sentVersion : SoftwareVersion.UNCERTAIN;
    }

    /** Records that an attempt ended before the caller received an event, so that any version may begin the stream. */
    void releaseOwnVersion() {
        if (versionOfOwnAttempt) {
            version = Optional.empty();
            versionOfOwnAttempt = false;
        }
    }

    /** Returns when its endpoint must stop. */
    Instant endpointDeadline() {
        return route.streaming() ? latestDeadline : deadline;
    }

    /**
     * Finds the team that holds the key of the request now, since a key may move to another team. A request whose key
     * was taken away after it had begun keeps the team that it had.
     */
    void updateTeam(TeamTable teams) {
        if (team.isPresent()) {
            team = request.key().flatMap(teams::findByKey).or(() -> team);
        }
    }

    private Optional<TeamName> teamName() {
        return team.map(Team::name);
    }

    /** Returns the urgency; 0 is the most urgent. */
    int rank() {
        return team.map(Team::rank).orElse(OptionalInt.empty()).orElse(route.rank());
    }

    /** Returns the prompt tokens that were not cached on the runner. */
    int uncachedTokens() {
        return request.inputTokens() - Math.min(request.inputTokens(), cachedTokens);
    }

    /** Returns when the caller stops waiting if there is no output. */
    Instant firstOutputDeadline() {
        Instant limit = arrivedAt.plus(route.patience());
        return limit.isBefore(deadline) ? limit : deadline;
    }

    /** Returns when the first output is due to meet the objective of the route. */
    Instant dueAt() {
        return arrivedAt.plus(route.objective());
    }

    int cacheTokens() {
        return service.engine().isPresent() ? request.inputTokens() + request.outputTokens() : 0;
    }

    /** Returns the log record of an attempt that is abandoned because it has produced no output. */
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

    /** Returns the log record of a refusal. */
    DecisionRecord refusalRecord(
            RefusalReason reason, double startMilliseconds, RefusalRegistry refusals, Instant now) {
        DecisionRecord refusal = DecisionRecord.important(
                "refused",
                "request",
                request.id(),
                "reason",
                reason,
                "service",
                service.name(),
                "expected-start-ms",
                (long) startMilliseconds,
                "waited-ms",
                Duration.between(arrivedAt, now).toMillis(),
                "read-delay-ms",
                readDelayMilliseconds,
                "attempts",
                attempts,
                "part",
                refusals.refusedPart(request).map(Long::toHexString).orElse(""),
                "fingerprint",
                request.fingerprint(),
                "known-crashes",
                refusals.crashes(request));
        return refusal.with("team", teamName());
    }

    /** Returns the log record of a failure. */
    DecisionRecord failureRecord(FailureReason reason, Instant now) {
        DecisionRecord failure = DecisionRecord.important(
                "failed",
                "request",
                request.id(),
                "reason",
                reason,
                "endpoint",
                endpoint.map(state -> state.id().value()).orElse(""),
                "attempts",
                attempts,
                "after-ms",
                Duration.between(arrivedAt, now).toMillis(),
                "read-delay-ms",
                readDelayMilliseconds);
        return failure.with("team", teamName());
    }

    /** Returns the log record of a complete answer. */
    DecisionRecord answerRecord(AttemptResult.Answered result, Instant now) {
        DecisionRecord answer = DecisionRecord.of(
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
                "read-delay-ms",
                readDelayMilliseconds,
                "after-ms",
                Duration.between(arrivedAt, now).toMillis());
        return answer.with("team", teamName());
    }
}
