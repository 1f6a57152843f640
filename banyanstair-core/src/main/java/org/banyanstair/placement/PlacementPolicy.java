package org.banyanstair.placement;

import java.util.List;

/**
 * Exchangeable parts of the placement decisions, so that policies can be compared.
 *
 * @param binding whether and how requests are bound to an engine on arrival
 * @param usesAdmissionControl whether requests that cannot meet their deadline are refused on arrival
 * @param limitsLoadRate whether loads are limited to the pool's share of the weight store
 */
public record PlacementPolicy(
        EngineBinding binding, EvictionOrder evictionOrder, boolean usesAdmissionControl, boolean limitsLoadRate) {
    /** Late binding, eviction of the least popular adapter, admission control and limited load rate. */
    public static final PlacementPolicy STANDARD =
            new PlacementPolicy(EngineBinding.NONE, EvictionOrder.LEAST_POPULAR, true, true);

    /** Baseline: early binding to the least loaded engine and LRU eviction. */
    public static final PlacementPolicy LEAST_LOADED =
            new PlacementPolicy(EngineBinding.LEAST_LOADED, EvictionOrder.LEAST_RECENTLY_USED, false, false);

    /** Baseline: early binding to the less loaded of two random engines and LRU eviction. */
    public static final PlacementPolicy RANDOM_OF_TWO =
            new PlacementPolicy(EngineBinding.RANDOM_OF_TWO, EvictionOrder.LEAST_RECENTLY_USED, false, false);

    /** Baseline: the standard policy without admission control. */
    public static final PlacementPolicy WITHOUT_ADMISSION =
            new PlacementPolicy(EngineBinding.NONE, EvictionOrder.LEAST_POPULAR, false, true);

    /** Names of the policies in settings files; same order as {@link #ALL}. */
    public static final List<String> NAMES = List.of("standard", "least-loaded", "random-of-two", "without-admission");

    private static final List<PlacementPolicy> ALL = List.of(STANDARD, LEAST_LOADED, RANDOM_OF_TWO, WITHOUT_ADMISSION);

    /**
     * Returns the policy of a name.
     *
     * @param name one of {@link #NAMES}
     */
    public static PlacementPolicy named(String name) {
        return ALL.get(NAMES.indexOf(name));
    }
}
