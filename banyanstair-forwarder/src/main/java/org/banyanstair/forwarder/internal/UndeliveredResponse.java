package org.banyanstair.forwarder.internal;

/**
 * A request that was read as a whole and whose connection ended before its caller was sent the whole response.
 *
 * @param requestId id of the request, empty if it has none
 * @param endedBy which side ended the connection
 * @param queuedBytes bytes of the response that were written to the connection
 * @param sentBytes those that the operating system has taken
 */
public record UndeliveredResponse(String requestId, EndedBy endedBy, long queuedBytes, long sentBytes) {
    /** The side that ended a connection. */
    public enum EndedBy {
        /** The caller closed the connection, or it was lost. */
        CALLER,
        /** The host closed the connection. */
        HOST,
        /** The process of the host exits. */
        EXIT
    }
}
