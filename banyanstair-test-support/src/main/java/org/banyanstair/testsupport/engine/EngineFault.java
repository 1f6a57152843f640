package org.banyanstair.testsupport.engine;

/** Faults of the engine, with the meaning of the number that is set for each. */
public enum EngineFault {
    /** Count of loads that end without effect. */
    FAIL_LOADS,
    /** Count of loads that take effect and whose connection is closed without an answer. */
    LOSE_LOAD_ANSWERS,
    /** Count of unloads that take effect and whose connection is closed without an answer. */
    LOSE_UNLOAD_ANSWERS,
    /** Count of generations that run and whose connection is closed before the first token. */
    LOSE_GENERATION_ANSWERS,
    /** 1 to restart empty at once, used up by the restart. */
    RESTART,
    /** 1 to ignore fencing numbers although the settings say that they are checked. */
    IGNORE_FENCING,
    /** Milliseconds for which the engine closes its connections and refuses new ones, once; streams go on. */
    REFUSE_CONNECTIONS_MILLISECONDS,
    /** Milliseconds that are added to each step. */
    SLOW_STEP_MILLISECONDS
}
