package org.banyanstair.testsupport.engine;

/** MutableEngineCounters of one engine; used by the scheduler thread alone. */
final class MutableEngineCounters {
    long tokens;
    long steps;
    long generations;
    long resumed;
    long loads;
    long failedLoads;
    long unloads;
    long fenced;
    long crashes;

    EngineCounters snapshot() {
        return new EngineCounters(tokens, steps, generations, resumed, loads, failedLoads, unloads, fenced, crashes);
    }
}
