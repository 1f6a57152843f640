package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/** How sending a request to an endpoint ended. */
public sealed interface AttemptResult {
    /**
     * The whole answer has arrived; a stream has been passed on to its end.
     *
     * @param status HTTP status
     * @param longestPause longest time between two outputs of a stream; zero for an answer in one piece
     */
    record Answered(int status, Duration longestPause) implements AttemptResult {
        private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

        /** Returns whether callers would take the status for a promise that the request has not run. */
        boolean claimsNotExecuted() {
            return NOT_RUN_STATUSES.contains(status);
        }
    }

    /**
     * The endpoint did not run the request.
     *
     * @param cause how this is known
     */
    record NotRun(NotRunCause cause) implements AttemptResult {}

    /**
     * The connection ended early or what came was no answer; the request may have run.
     *
     * @param cause what ended the attempt
     * @param outputPassedOn whether the caller has got a part of the answer
     * @param lastEvent id of the event after which the stream can be resumed; empty if there is none, or
     *     what was passed on last has no id
     */
    record Broken(BrokenCause cause, boolean outputPassedOn, Optional<Long> lastEvent) implements AttemptResult {}

    /** How it is known that a request has not run. */
    enum NotRunCause {
        /** No connection could be opened, so no byte was sent. */
        NOT_CONNECTED,
        /** The endpoint said that it is full. */
        FULL,
        /** Another process has the address, or it lacks the adapter version. */
        NOT_HERE
    }

    /** What ended an attempt whose request may have run. */
    enum BrokenCause {
        /** The connection ended, or what came on it is not HTTP, before the answer was complete. */
        CONNECTION_LOST,
        /** The head is not that of an answer to this request, for example a success without a signature. */
        INVALID_HEAD,
        /** The answer to a resumption is not an event stream. */
        NOT_A_STREAM,
        /** The id of an event does not follow that of the event before it. */
        EVENT_GAP,
        /** An event of a resumption has no id, so it is unknown whether the caller has it. */
        UNKNOWN_POSITION,
        /** The answer is complete by its framing, but ends within an event. */
        PARTIAL_EVENT,
        /** The run ended before the last event that the caller has from an earlier one. */
        ENDED_EARLY,
        /** The head of the answer did not end in time after its first byte. */
        SLOW_HEAD,
        /** More bytes came than an answer may have, or more than are kept of one. */
        TOO_LONG
    }
}
