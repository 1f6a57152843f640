package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/** Outcome of one attempt to run a request on an endpoint. */
public sealed interface AttemptResult {
    /**
     * The answer arrived completely; a stream has been relayed to its end.
     *
     * @param longestPause longest time between two outputs of a stream; zero for a non-streaming answer
     */
    record Answered(int status, Duration longestPause) implements AttemptResult {
        private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

        boolean isSuccess() {
            return status / 100 == 2;
        }

        /** Returns whether the status tells callers that the request has not run. */
        boolean claimsNotExecuted() {
            return NOT_RUN_STATUSES.contains(status);
        }
    }

    /** The endpoint did not run the request. */
    record NotRun(NotRunCause cause) implements AttemptResult {}

    /**
     * The connection ended early or the answer was invalid; the request may have run.
     *
     * @param outputPassedOn whether the caller has received a part of the answer
     * @param lastEvent id of the event after which the stream can be resumed; empty if there is none, or the last event
     *     that was relayed has no id
     */
    record Broken(BrokenCause cause, boolean outputPassedOn, Optional<Long> lastEvent) implements AttemptResult {}

    /** Why a request is known not to have run. */
    enum NotRunCause {
        /** No process listens at the address, so no byte was sent. */
        REFUSED,
        /** A connection was reset or timed out before it was open, so no byte was sent; a process may be listening. */
        NOT_CONNECTED,
        /** The deadline passed before a connection was open, so no byte was sent. */
        EXPIRED,
        /** The endpoint has not read what this host has sent it before, so no byte was sent. */
        BACKLOG,
        /** The connection leads to another process than the one that may run it, so the request was not sent. */
        OTHER_PROCESS,
        /** The endpoint answered that it is at capacity. */
        FULL,
        /** Another process has the address, or the runner lacks the adapter version. */
        NOT_HERE;

        /** Returns whether the endpoint received the request. */
        boolean reachesEndpoint() {
            return this == FULL || this == NOT_HERE;
        }
    }

    /** Cause of the end of an attempt whose request may have run. */
    enum BrokenCause {
        /** The connection ended before the answer was complete, or what arrived was not HTTP. */
        CONNECTION_LOST,
        /** The connection ended after this host had not read the answer for a while, because its caller did not. */
        CALLER_STALLED,
        /** This host has no memory for the answer, because callers do not read theirs. */
        HOST_MEMORY,
        /** The head is not that of an answer to this request, such as a success without a signature. */
        INVALID_HEAD,
        /** The answer to a resume request is not an event stream. */
        NOT_A_STREAM,
        /** The ids of two events are not consecutive. */
        EVENT_GAP,
        /** An event of a resumed stream has no id, so it is unknown whether the caller has received it. */
        UNKNOWN_POSITION,
        /** The answer is complete by its HTTP framing, but ends within an event. */
        PARTIAL_EVENT,
        /** The resumed stream ended before the last event that the caller received from an earlier run. */
        ENDED_EARLY,
        /** The head of the answer was not complete in time after its first byte. */
        SLOW_HEAD,
        /** More bytes arrived than an answer may have, or than are kept of one answer or of all. */
        TOO_LONG;

        /** Returns whether the endpoint did what it had to, so that it counts neither as failed nor as crashed. */
        boolean excusesEndpoint() {
            return this == CALLER_STALLED || this == HOST_MEMORY;
        }
    }
}
