package org.banyanstair.errors;

/** What a failure says about whether the request ran. */
public enum FailureOutcome {
    /** The request did not run and never will. */
    NOT_RUN,
    /** The request may have run, or part of it ran. */
    UNKNOWN
}
