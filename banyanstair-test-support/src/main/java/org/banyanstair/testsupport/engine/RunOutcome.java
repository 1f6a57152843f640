package org.banyanstair.testsupport.engine;

/** State of a generation, or the reason for which it ended. */
public enum RunOutcome {
    /** It is waiting or in the batch. */
    RUNNING,
    /** All tokens were produced. */
    COMPLETED,
    /** It was cancelled by a command. */
    CANCELLED,
    /** Its client disconnected and did not resume the stream in time. */
    DISCONNECTED,
    /** Its deadline passed. */
    DEADLINE_PASSED,
    /** Its adapter was unloaded. */
    UNLOADED,
    /** The engine crashed or restarted. */
    CRASHED
}
