package org.banyanstair.placement;

import java.time.Instant;
import java.util.Comparator;

import org.banyanstair.model.AdapterVersion;

/** Orders the adapters that may be evicted, best victim first. */
@FunctionalInterface
public interface VictimOrder {
    /** Lowest decayed popularity first. */
    VictimOrder LEAST_POPULAR = () -> Comparator.comparingDouble(Victim::popularity);

    /** Longest unused first. */
    VictimOrder LEAST_RECENTLY_USED = () -> Comparator.comparing(Victim::usedAt);

    /**
     * Returns the order.
     *
     * @return comparator that puts the best victim first
     */
    Comparator<Victim> order();

    /**
     * An adapter that may be evicted.
     *
     * @param adapter the adapter
     * @param popularity its decayed popularity
     * @param usedAt when a request last used it on this engine
     */
    record Victim(AdapterVersion adapter, double popularity, Instant usedAt) {}
}
