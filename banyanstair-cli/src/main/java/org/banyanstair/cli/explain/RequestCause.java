package org.banyanstair.cli.explain;

/** How a request ended, or why this is unknown. */
public enum RequestCause {
    /** The response of an endpoint was forwarded to the caller. */
    ANSWERED,
    /** The request was refused and has not run. */
    REFUSED,
    /** The endpoint crashed, restarted, left or lost its connection while the request ran. */
    ENDPOINT_LOST,
    /** The endpoint failed the request, and the logs have no entry that explains the failure. */
    ENDPOINT_FAILED,
    /** No response arrived before the deadline. */
    TIMED_OUT,
    /** The caller disconnected. */
    CALLER_LEFT,
    /** The host that handled the request stopped or restarted before the request ended. */
    HOST_LOST,
    /** The logs have no entry for the end of the request. */
    NO_END
}
