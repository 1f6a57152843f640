package org.banyanstair.testsupport.engine;

import java.time.Instant;
import java.util.List;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;

/**
 * Describes a command that violated a guarantee of the serving system.
 *
 * @param kind {@code unloaded_in_use} for an adapter with requests in the batch, {@code unloaded_while_waiting} for one
 *     with requests that wait for the batch
 * @param adapter engine name of the adapter
 * @param requestIds requests that used the adapter
 * @param at when the command took effect
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record EngineViolation(String kind, String adapter, List<String> requestIds, Instant at) {}
