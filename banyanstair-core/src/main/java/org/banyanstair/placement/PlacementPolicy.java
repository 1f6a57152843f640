package org.banyanstair.placement;

import java.util.List;

/**
 * The parts of a pool owner's decisions that can be exchanged for comparison.
 *
 * @param binding chooses, when a request arrives, the engine that it has to use; empty leaves all engines open
 * @param evictionOrder orders the adapters that may be evicted, best victim first
 * @param usesAdmissionControl whether requests that cannot meet their deadline are refused when they arrive
 * @param limitsLoadRate whether loads keep to the pool's share of the weight store
 */
public record PlacementPolicy(
        EngineBinding binding, EvictionOrder evictionOrder, boolean usesAdmissionControl, boolean limitsLoadRate) {
    /** Any engine may serve a request; the least popular adapter is evicted; requests are admitted by estimate. */
    public static final PlacementPolicy STANDARD =
            new PlacementPolicy(EngineBinding.NONE, EvictionOrder.LEAST_POPULAR, true, true);

    /** Baseline: the least loaded engine serves a request, and the least recently used adapter is evicted. */
    public static final PlacementPolicy LEAST_LOADED =
            new PlacementPolicy(EngineBinding.LEAST_LOADED, EvictionOrder.LEAST_RECENTLY_USED, false, false);

    /** Baseline: the less loaded of two random engines serves a request; least recently used eviction. */
    public static final PlacementPolicy RANDOM_OF_TWO =
            new PlacementPolicy(EngineBinding.RANDOM_OF_TWO, EvictionOrder.LEAST_RECENTLY_USED, false, false);

    /** Baseline: like the standard policy, but every request is admitted until its deadline. */
    public static final PlacementPolicy WITHOUT_ADMISSION =
            new PlacementPolicy(EngineBinding.NONE, EvictionOrder.LEAST_POPULAR, false, true);

    /** Names of the policies in settings files, in the order of {@link #ALL}. */
    public static final List<String> NAMES = List.of("standard", "least-loaded", "random-of-two", "without-admission");

    private static final List<PlacementPolicy> ALL = List.of(STANDARD, LEAST_LOADED, RANDOM_OF_TWO, WITHOUT_ADMISSION);

    /**
     * Finds a policy.
     *
     * @param name one of {@link #NAMES}
     * @return the policy
     */
    public static PlacementPolicy named(String name) {
        return ALL.get(NAMES.indexOf(name));
    }
}
