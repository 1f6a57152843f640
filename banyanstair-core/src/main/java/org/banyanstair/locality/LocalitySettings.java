package org.banyanstair.locality;

import java.time.Duration;

/**
 * Terms on which requests may leave the data centre of their host.
 *
 * @param enabled whether the policy applies; otherwise a fixed penalty does
 * @param longerWay time that a request to another data centre and its answer take longer
 * @param kilobytePriceMilliseconds milliseconds of a caller's time that are worth a kilobyte between data centres, at
 *     least 0
 */
public record LocalitySettings(boolean enabled, Duration longerWay, double kilobytePriceMilliseconds) {
    /** For a deployment that does not call for the policy. */
    public static final LocalitySettings DISABLED = new LocalitySettings(false, Duration.ofMillis(3), 0.2);

    /**
     * One-way delays are 0.5 to 1.4 ms; a request of 9,200 tokens, about 38 kB, must gain 11 ms to leave, one of 200
     * tokens 3 ms: a hundredth of the shortest objectives at most.
     */
    public static final LocalitySettings ENABLED =
            new LocalitySettings(true, DISABLED.longerWay(), DISABLED.kilobytePriceMilliseconds());

    public LocalitySettings {
        if (longerWay.isNegative() || !(kilobytePriceMilliseconds >= 0)) {
            throw new IllegalArgumentException("invalid terms for other data centres");
        }
    }

    /** Returns what a request must gain by leaving, in milliseconds, to be worth its way and its bytes. */
    public double tollMilliseconds(double kilobytes) {
        return longerWay.toMillis() + kilobytePriceMilliseconds * kilobytes;
    }
}
