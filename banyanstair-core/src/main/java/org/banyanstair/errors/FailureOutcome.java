package org.banyanstair.errors;

/** Whether a failed request was executed. */
public enum FailureOutcome {
    /** The request was not executed and never will be. */
    NOT_RUN,
    /** The request may have been executed, wholly or in part. */
    UNKNOWN
}
