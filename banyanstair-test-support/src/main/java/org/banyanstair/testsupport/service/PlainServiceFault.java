package org.banyanstair.testsupport.service;

/** Faults that can be injected into the plain service; each constant documents the meaning of its value. */
public enum PlainServiceFault {
    /** Number of calls that run but whose connection is closed without a response. */
    LOSE_ANSWERS,
    /** Milliseconds by which each response is delayed; the call itself runs at once. */
    DELAY_MILLISECONDS,
    /** 1 to reject every call with status 503 without running it. */
    OUTAGE,
    /** Milliseconds for which the service closes its connections and refuses new ones, once. */
    REFUSE_CONNECTIONS_MILLISECONDS
}
