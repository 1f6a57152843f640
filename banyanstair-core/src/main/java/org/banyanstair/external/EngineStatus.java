package org.banyanstair.external;

import java.util.Map;

import org.banyanstair.model.AdapterVersion;

/**
 * What an engine reports about itself.
 *
 * @param incarnation changes when the engine restarts, and with it everything that it had loaded is gone
 * @param batchLimit most requests that run at a time
 * @param loaded loaded adapters with the number of requests that run on each
 * @param running requests that run
 * @param fence highest fencing number seen, 0 if the engine checks none
 */
public record EngineStatus(
        long incarnation, int slots, int batchLimit, Map<AdapterVersion, Integer> loaded, int running, long fence) {
    /** Copies the map. */
    public EngineStatus {
        loaded = Map.copyOf(loaded);
    }
}
