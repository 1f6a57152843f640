package org.banyanstair.forwarding;

import java.util.List;

/**
 * What each runner of a service can hold.
 *
 * @param adapterSlots adapters that it can hold at once
 * @param cacheTokens tokens of running requests and cached prompt parts
 * @param weightMegabytes weights of base models and adapters that it can hold
 * @param baseModels base models that its requests name
 */
public record EngineCapacity(int adapterSlots, long cacheTokens, double weightMegabytes, List<BaseModel> baseModels) {
    /** Checks the capacities. */
    public EngineCapacity {
        baseModels = List.copyOf(baseModels);
        if (adapterSlots < 0 || cacheTokens < 0) {
            throw new IllegalArgumentException("negative capacity");
        }
    }
}
