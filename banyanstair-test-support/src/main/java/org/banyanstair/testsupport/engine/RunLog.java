package org.banyanstair.testsupport.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * Records the runs and violations of an engine over all its incarnations. Not thread-safe; used only on the engine's
 * scheduler thread.
 */
final class RunLog {
    private final List<EngineRun> runs = new ArrayList<>();
    private final List<EngineViolation> violations = new ArrayList<>();

    void add(Generation generation) {
        generation.runLogIndex = runs.size();
        runs.add(generation.toRun());
    }

    void update(Generation generation) {
        runs.set(generation.runLogIndex, generation.toRun());
    }

    void add(EngineViolation violation) {
        violations.add(violation);
    }

    EngineRecord snapshot(List<Generation> running) {
        running.forEach(this::update);
        return new EngineRecord(List.copyOf(runs), List.copyOf(violations));
    }
}
