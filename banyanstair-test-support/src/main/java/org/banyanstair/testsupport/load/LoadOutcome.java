package org.banyanstair.testsupport.load;

/** Outcome of a request of a load. */
public enum LoadOutcome {
    /** The complete response was received. */
    ANSWERED,
    /** The system reported that the request did not run. */
    NOT_RUN,
    /** The caller does not know whether the request ran. */
    UNKNOWN,
    /** The operation threw an exception, which is an error of the test. */
    FAILED
}
