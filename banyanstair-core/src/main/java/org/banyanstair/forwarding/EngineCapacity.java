package org.banyanstair.forwarding;

import java.util.List;

/**
 * Capacity of each runner of a service.
 *
 * @param adapterSlots number of adapters that it can hold at once
 * @param cacheTokens tokens of running requests and cached prompt prefixes that fit into its memory
 * @param weightMegabytes memory for the weights of base models and adapters
 * @param baseModels base models that requests of the service name
 */
public record EngineCapacity(int adapterSlots, long cacheTokens, double weightMegabytes, List<BaseModel> baseModels) {
    /** Copies the base models and checks the limits. */
    public EngineCapacity {
        baseModels = List.copyOf(baseModels);
        if (adapterSlots < 0 || cacheTokens < 0) {
            throw new IllegalArgumentException(
                    "negative capacity: " + adapterSlots + " adapter slots, " + cacheTokens + " cache tokens");
        }
    }
}
