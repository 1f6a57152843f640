package org.banyanstair.placement;

import java.time.Instant;
import java.util.Comparator;

import org.banyanstair.model.AdapterVersion;

/** Orders the adapters that may be evicted, best victim first. */
@FunctionalInterface
public interface EvictionOrder {
    /** Lowest decayed popularity first. */
    EvictionOrder LEAST_POPULAR = () -> Comparator.comparingDouble(Candidate::popularity);

    /** Longest unused first. */
    EvictionOrder LEAST_RECENTLY_USED = () -> Comparator.comparing(Candidate::lastUsedAt);

    /**
     * Returns the order.
     *
     * @return comparator that puts the best victim first
     */
    Comparator<Candidate> order();

    /**
     * An adapter that may be evicted.
     *
     * @param adapter the adapter
     * @param popularity its decayed popularity
     * @param lastUsedAt when a request last used it on this engine
     */
    record Candidate(AdapterVersion adapter, double popularity, Instant lastUsedAt) {}
}
