package org.banyanstair.testsupport.engine;

/** Faults that can be injected into the engine; each constant documents the meaning of its value. */
public enum EngineFault {
    /** Number of loads that fail. */
    FAIL_LOADS,
    /** Number of loads that succeed but whose connection is closed without a response. */
    LOSE_LOAD_ANSWERS,
    /** Number of unloads that are carried out but whose connection is closed without a response. */
    LOSE_UNLOAD_ANSWERS,
    /** Number of generations that run but whose connection is closed before the first token. */
    LOSE_GENERATION_ANSWERS,
    /** 1 to restart at once without loaded adapters; reset by the restart. */
    RESTART,
    /** 1 to ignore fencing numbers even if the settings enable the check. */
    IGNORE_FENCING,
    /** Milliseconds for which the engine closes connections and refuses new ones, once; generations keep running. */
    REFUSE_CONNECTIONS_MILLISECONDS,
    /** Milliseconds added to each batch step. */
    SLOW_STEP_MILLISECONDS
}
