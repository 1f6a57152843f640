package org.banyanstair.forwarder.internal;

import java.util.Locale;

import org.banyanstair.forwarding.AttemptResult;

/** Why bytes of an endpoint were rejected as an answer. */
public enum ResponseFault {
    /** The bytes do not follow HTTP. */
    MALFORMED(AttemptResult.BrokenCause.CONNECTION_LOST),
    /** The head is not that of an answer to the request. */
    INVALID_HEAD(AttemptResult.BrokenCause.INVALID_HEAD),
    /** Too many bytes came that are no body of the awaited answer. */
    EXCESS_BYTES(AttemptResult.BrokenCause.TOO_LONG),
    /** The awaited head did not end in time after its first byte. */
    SLOW_HEAD(AttemptResult.BrokenCause.SLOW_HEAD),
    /** Bytes came although no answer was awaited. */
    UNEXPECTED_BYTES(AttemptResult.BrokenCause.TOO_LONG),
    /** The body is longer than any answer. */
    LONG_BODY(AttemptResult.BrokenCause.TOO_LONG),
    /** An event of a stream is longer than any event. */
    LONG_EVENT(AttemptResult.BrokenCause.TOO_LONG),
    /** Too many bytes of a stream came without a new event. */
    NO_NEW_EVENT(AttemptResult.BrokenCause.TOO_LONG),
    /** The answer was the largest when the answers of all endpoints together exceeded their memory. */
    MEMORY(AttemptResult.BrokenCause.TOO_LONG);

    private final AttemptResult.BrokenCause cause;

    ResponseFault(AttemptResult.BrokenCause cause) {
        this.cause = cause;
    }

    /** Returns what it means for an attempt. */
    AttemptResult.BrokenCause cause() {
        return cause;
    }

    /**
     * Returns the name in metrics and logs.
     *
     * @return the name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
