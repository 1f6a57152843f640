package org.banyanstair.placement;

import java.time.Instant;
import java.util.Comparator;

import org.banyanstair.model.AdapterVersion;

/** Order in which adapters are evicted. */
@FunctionalInterface
public interface EvictionOrder {
    /** Evicts the adapter with the lowest decayed popularity first. */
    EvictionOrder LEAST_POPULAR = () -> Comparator.comparingDouble(Candidate::popularity);

    /** Evicts the least recently used adapter first. */
    EvictionOrder LEAST_RECENTLY_USED = () -> Comparator.comparing(Candidate::lastUsedAt);

    /** Returns a comparator that sorts the adapter to evict first to the front. */
    Comparator<Candidate> order();

    /**
     * An adapter that may be evicted from an engine.
     *
     * @param popularity decayed request count
     * @param lastUsedAt when a request last used it on this engine
     */
    record Candidate(AdapterVersion adapter, double popularity, Instant lastUsedAt) {}
}
