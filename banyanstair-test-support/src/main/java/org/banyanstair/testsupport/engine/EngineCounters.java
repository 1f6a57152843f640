package org.banyanstair.testsupport.engine;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;

/**
 * Counts events of an engine over all its incarnations.
 *
 * @param generations generations that entered the batch
 * @param loads adapter loads that succeeded
 * @param failedLoads adapter loads that failed
 * @param unloads adapter unloads that were carried out
 * @param fenced commands rejected for a stale fencing number
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
