package org.banyanstair.testsupport.fault;

/** Whether a stand-in serves requests. */
public enum Outage {
    /** Requests are served. */
    NONE,
    /** Every operation is answered with status 503 and has no effect. */
    UNAVAILABLE,
    /** The listening socket is closed, so new connections are refused, and open connections are closed. */
    REFUSED
}
