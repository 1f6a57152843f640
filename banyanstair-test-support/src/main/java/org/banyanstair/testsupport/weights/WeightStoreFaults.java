package org.banyanstair.testsupport.weights;

import java.util.Set;

import org.banyanstair.testsupport.fault.Faults;

/**
 * Faults that can be injected into the weight store.
 *
 * @param shared faults common to all platform stand-ins
 * @param failingLoads number of next loads that fail
 * @param failureProbability probability that any further load fails, 0 to 1
 * @param seed seed of the random failures
 * @param failingAdapters names of the form {@code service/adapter@version} whose loads always fail
 */
public record WeightStoreFaults(
        Faults shared, int failingLoads, double failureProbability, long seed, Set<String> failingAdapters) {
    /** No faults. */
    public static final WeightStoreFaults NONE = new WeightStoreFaults(Faults.NONE, 0, 0, 0, Set.of());

    /** Replaces null by defaults and checks the ranges. */
    public WeightStoreFaults {
        shared = shared == null ? Faults.NONE : shared;
        failingAdapters = failingAdapters == null ? Set.of() : Set.copyOf(failingAdapters);
        if (failingLoads < 0 || !(failureProbability >= 0 && failureProbability <= 1)) {
            throw new IllegalArgumentException(
                    "failingLoads must not be negative and failureProbability must be from 0 to 1");
        }
    }

    /** Returns a copy with another number of failing loads. */
    public WeightStoreFaults withFailingLoads(int count) {
        return new WeightStoreFaults(shared, count, failureProbability, seed, failingAdapters);
    }

    /** Returns a copy with other shared faults. */
    public WeightStoreFaults withShared(Faults value) {
        return new WeightStoreFaults(value, failingLoads, failureProbability, seed, failingAdapters);
    }
}
