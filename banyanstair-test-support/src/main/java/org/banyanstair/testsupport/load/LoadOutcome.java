package org.banyanstair.testsupport.load;

/** How a request of a load ended. */
public enum LoadOutcome {
    /** The whole answer came. */
    ANSWERED,
    /** The caller was told that the request did not run. */
    NOT_RUN,
    /** The caller does not know whether the request ran. */
    UNKNOWN,
    /** The operation itself threw an exception, which is a fault of the test. */
    FAILED
}
