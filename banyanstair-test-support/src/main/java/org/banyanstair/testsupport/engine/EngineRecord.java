package org.banyanstair.testsupport.engine;

import java.util.List;

/**
 * Everything that an engine ran, over all its incarnations.
 *
 * @param runs the generations, in the order in which they started
 * @param violations the violations, in order
 */
public record EngineRecord(List<EngineRun> runs, List<EngineViolation> violations) {}
