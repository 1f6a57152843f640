package org.banyanstair.placement;

import java.time.Instant;
import java.util.Comparator;

import org.banyanstair.model.AdapterVersion;

/** Orders the adapters that may be evicted, best victim first. */
@FunctionalInterface
public interface EvictionOrder {
    /** Lowest decayed popularity first. */
    EvictionOrder LEAST_POPULAR = () -> Comparator.comparingDouble(EvictionCandidate::popularity);

    /** Longest unused first. */
    EvictionOrder LEAST_RECENTLY_USED = () -> Comparator.comparing(EvictionCandidate::usedAt);

    /**
     * Returns the order.
     *
     * @return comparator that puts the best victim first
     */
    Comparator<EvictionCandidate> order();

    /**
     * An adapter that may be evicted.
     *
     * @param adapter the adapter
     * @param popularity its decayed popularity
     * @param usedAt when a request last used it on this engine
     */
    record EvictionCandidate(AdapterVersion adapter, double popularity, Instant usedAt) {}
}
