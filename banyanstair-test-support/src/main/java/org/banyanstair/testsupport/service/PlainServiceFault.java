package org.banyanstair.testsupport.service;

/** Faults of the plain service, with the meaning of the number that is set for each. */
public enum PlainServiceFault {
    /** Count of calls that run and whose connection is closed without an answer. */
    LOSE_ANSWERS,
    /** Milliseconds by which each answer is late; the call runs at once. */
    DELAY_MILLISECONDS,
    /** 1 for an outage: every call is answered with 503 and does not run. */
    OUTAGE,
    /** Milliseconds for which the service closes its connections and refuses new ones, once. */
    REFUSE_CONNECTIONS_MILLISECONDS
}
