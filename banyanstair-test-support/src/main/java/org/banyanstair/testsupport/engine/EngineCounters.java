package org.banyanstair.testsupport.engine;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;

/**
 * Totals over all incarnations of an engine.
 *
 * @param tokens tokens produced
 * @param steps steps of the batch
 * @param generations generations that entered the batch
 * @param resumed streams that were resumed
 * @param loads loads that took effect
 * @param failedLoads loads that ended without effect
 * @param unloads unloads that took effect
 * @param fenced commands refused for an old fencing number
 * @param crashes crashes and restarts
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record EngineCounters(
        long tokens,
        long steps,
        long generations,
        long resumed,
        long loads,
        long failedLoads,
        long unloads,
        long fenced,
        long crashes) {}
