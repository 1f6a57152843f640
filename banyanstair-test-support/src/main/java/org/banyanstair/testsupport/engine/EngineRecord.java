package org.banyanstair.testsupport.engine;

import java.util.List;

/**
 * Generations and violations of an engine over all its incarnations.
 *
 * @param runs the generations, in the order in which they started
 * @param violations the violations, in the order in which they happened
 */
public record EngineRecord(List<EngineRun> runs, List<EngineViolation> violations) {}
