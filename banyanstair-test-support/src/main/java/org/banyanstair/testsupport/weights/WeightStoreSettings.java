package org.banyanstair.testsupport.weights;

import java.time.Duration;

/**
 * Capacity of the weight store.
 *
 * @param loadsPerSecond loads that may start per second on average
 * @param burst loads that may start at once after an idle time, at least 1
 * @param transferTime time of a transfer while no more than {@code transitLimit} are in transit
 * @param transitLimit transfers beyond which each takes proportionally longer
 * @param adapterBytes length of the answer
 */
public record WeightStoreSettings(
        double loadsPerSecond, int burst, Duration transferTime, int transitLimit, int adapterBytes) {
    /** Capacity that the co-operative's store has: 3 loads per second, 0.25 s each, 8 in transit. */
    public static final WeightStoreSettings DEFAULT = new WeightStoreSettings(3, 3, Duration.ofMillis(250), 8, 4_096);

    /** Checks the ranges. */
    public WeightStoreSettings {
        if (!(loadsPerSecond > 0) || burst < 1 || transitLimit < 1 || adapterBytes < 0 || transferTime.isNegative()) {
            throw new IllegalArgumentException("capacities of the weight store must be positive");
        }
    }

    /**
     * Returns these settings with another rate; the burst is one second's worth of loads.
     *
     * @param rate loads that may start per second on average
     * @return the settings
     */
    public WeightStoreSettings withLoadsPerSecond(double rate) {
        return new WeightStoreSettings(
                rate, (int) Math.max(1, Math.ceil(rate)), transferTime, transitLimit, adapterBytes);
    }
}
