package org.banyanstair.cli.explain;

/** How a request ended, or why it cannot be told. */
public enum RequestCause {
    /** An endpoint's answer was passed on. */
    ANSWERED,
    /** It was refused and has not run. */
    REFUSED,
    /** Its endpoint crashed, restarted, left or lost the connection while it ran. */
    ENDPOINT_LOST,
    /** Its endpoint failed, and nothing else is logged of the endpoint at that time. */
    ENDPOINT_FAILED,
    /** No answer came before its deadline. */
    TIMED_OUT,
    /** Its caller left. */
    CALLER_LEFT,
    /** The host that had it stopped or was lost before the end. */
    HOST_LOST,
    /** The logs have no line with its end. */
    NO_END
}
