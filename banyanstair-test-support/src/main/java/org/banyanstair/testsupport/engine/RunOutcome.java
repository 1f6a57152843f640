package org.banyanstair.testsupport.engine;

/** How a generation left the batch. */
public enum RunOutcome {
    /** It is still in the batch. */
    RUNNING,
    /** All tokens were produced. */
    COMPLETED,
    /** It was cancelled by a command. */
    CANCELLED,
    /** Its connection broke and it was not resumed in time. */
    DISCONNECTED,
    /** Its deadline passed. */
    DEADLINE_PASSED,
    /** Its adapter was unloaded. */
    UNLOADED,
    /** The engine crashed or restarted. */
    CRASHED
}
