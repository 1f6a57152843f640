package org.banyanstair.testsupport.weights;

import java.time.Duration;

/**
 * Capacity of the weight store.
 *
 * @param loadsPerSecond sustained rate of load starts
 * @param burst number of loads that may start at once after an idle period, at least 1
 * @param transferTime duration of a transfer while no more than {@code transitLimit} are in transit
 * @param transitLimit number of concurrent transfers above which each takes proportionally longer
 * @param adapterBytes size of an adapter in bytes
 */
public record WeightStoreSettings(
        double loadsPerSecond, int burst, Duration transferTime, int transitLimit, int adapterBytes) {
    /** Capacity of the platform's store: 3 loads per second, 0.25 s each, 8 in transit. */
    public static final WeightStoreSettings DEFAULT = new WeightStoreSettings(3, 3, Duration.ofMillis(250), 8, 4_096);

    /** Checks the ranges. */
    public WeightStoreSettings {
        if (!(loadsPerSecond > 0) || burst < 1 || transitLimit < 1 || adapterBytes < 0 || transferTime.isNegative()) {
            throw new IllegalArgumentException(
                    "capacity values must be positive, adapterBytes and transferTime not negative");
        }
    }

    /** Returns a copy with another rate; the burst is the number of loads per second, rounded up. */
    public WeightStoreSettings withLoadsPerSecond(double rate) {
        return new WeightStoreSettings(
                rate, (int) Math.max(1, Math.ceil(rate)), transferTime, transitLimit, adapterBytes);
    }
}
