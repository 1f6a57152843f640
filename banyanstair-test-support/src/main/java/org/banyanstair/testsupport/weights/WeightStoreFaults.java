package org.banyanstair.testsupport.weights;

import java.util.Set;

import org.banyanstair.testsupport.fault.Faults;

/**
 * Faults of the weight store.
 *
 * @param shared faults that every stand-in has
 * @param failingLoads number of loads from now on that fail
 * @param failureProbability probability that a load beyond those fails, 0 to 1
 * @param seed seed of the random numbers behind the probability
 * @param failingAdapters names of the form {@code service/adapter@version} whose loads always fail
 */
public record WeightStoreFaults(
        Faults shared, int failingLoads, double failureProbability, long seed, Set<String> failingAdapters) {
    /** No faults. */
    public static final WeightStoreFaults NONE = new WeightStoreFaults(Faults.NONE, 0, 0, 0, Set.of());

    /** Replaces absent values by their defaults and checks the ranges. */
    public WeightStoreFaults {
        shared = shared == null ? Faults.NONE : shared;
        failingAdapters = failingAdapters == null ? Set.of() : Set.copyOf(failingAdapters);
        if (failingLoads < 0 || !(failureProbability >= 0 && failureProbability <= 1)) {
            throw new IllegalArgumentException("failingLoads must not be negative, failureProbability from 0 to 1");
        }
    }

    /**
     * Returns these faults with another number of failing loads.
     *
     * @param count number of loads from now on that fail
     * @return the faults
     */
    public WeightStoreFaults withFailingLoads(int count) {
        return new WeightStoreFaults(shared, count, failureProbability, seed, failingAdapters);
    }

    /**
     * Returns these faults with other faults of the kind that every stand-in has.
     *
     * @param value the shared faults
     * @return the faults
     */
    public WeightStoreFaults withShared(Faults value) {
        return new WeightStoreFaults(value, failingLoads, failureProbability, seed, failingAdapters);
    }
}
