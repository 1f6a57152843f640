package org.banyanstair.forwarding;

/**
 * What each runner of a service can hold.
 *
 * @param adapterSlots adapters that it can hold at once
 * @param cacheTokens tokens of running requests and cached prompt parts
 */
public record EngineCapacity(int adapterSlots, long cacheTokens) {
    /** Checks the capacities. */
    public EngineCapacity {
        if (adapterSlots < 0 || cacheTokens < 0) {
            throw new IllegalArgumentException("negative capacity");
        }
    }
}
