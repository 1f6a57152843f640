package org.banyanstair.testsupport.fault;

/** Kind of outage of a platform stand-in. */
public enum Outage {
    /** No outage. */
    NONE,
    /** Operations are rejected with status 503 and have no effect. */
    UNAVAILABLE,
    /** New connections are refused and open ones are closed. */
    REFUSED
}
