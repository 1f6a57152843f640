package org.banyanstair.external;

import java.util.Map;

import org.banyanstair.model.AdapterVersion;

/**
 * Status reported by an engine.
 *
 * @param incarnation changes when the engine restarts, which unloads all its adapters
 * @param batchLimit maximum concurrent requests
 * @param loaded number of running requests of each loaded adapter
 * @param running total number of running requests
 * @param fence highest fencing token seen, 0 if the engine does not check them
 */
public record EngineStatus(
        long incarnation, int slots, int batchLimit, Map<AdapterVersion, Integer> loaded, int running, long fence) {
    /** Copies the map. */
    public EngineStatus {
        loaded = Map.copyOf(loaded);
    }
}
