package org.banyanstair.forwarder.internal;

import java.util.Locale;

import org.banyanstair.forwarding.AttemptResult;

/** Reason for rejecting what an endpoint sent as a response. */
public enum ResponseFault {
    /** The bytes are not valid HTTP. */
    MALFORMED(AttemptResult.BrokenCause.CONNECTION_LOST),
    /** The head is not that of a response to the request. */
    INVALID_HEAD(AttemptResult.BrokenCause.INVALID_HEAD),
    /** The response may be a copy of an earlier one, or belong to an earlier request. */
    AMBIGUOUS(AttemptResult.BrokenCause.INVALID_HEAD),
    /** Too many bytes that are not part of the response body, such as chunk framing. */
    EXCESS_BYTES(AttemptResult.BrokenCause.TOO_LONG),
    /** The head was not complete in time after its first byte. */
    SLOW_HEAD(AttemptResult.BrokenCause.SLOW_HEAD),
    /** Bytes arrived while no response was awaited. */
    UNEXPECTED_BYTES(AttemptResult.BrokenCause.TOO_LONG),
    /** The body exceeds the maximum size. */
    LONG_BODY(AttemptResult.BrokenCause.TOO_LONG),
    /** An event of a stream exceeds the maximum size. */
    LONG_EVENT(AttemptResult.BrokenCause.TOO_LONG),
    /** Too many bytes of a stream without a new event. */
    NO_NEW_EVENT(AttemptResult.BrokenCause.TOO_LONG),
    /** The response was the largest one when the memory budget of all responses was exceeded. */
    MEMORY(AttemptResult.BrokenCause.TOO_LONG);

    private final AttemptResult.BrokenCause cause;

    ResponseFault(AttemptResult.BrokenCause cause) {
        this.cause = cause;
    }

    /** Returns the corresponding cause of a broken attempt. */
    AttemptResult.BrokenCause cause() {
        return cause;
    }

    /** Returns the name used in metrics and logs. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
