package org.banyanstair.testsupport.engine;

/** Mutable form of {@link EngineCounters}. Not thread-safe; used only on the engine's scheduler thread. */
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
