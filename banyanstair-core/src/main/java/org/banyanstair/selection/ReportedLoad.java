package org.banyanstair.selection;

/**
 * What a host knows of the load of an endpoint.
 *
 * @param own requests of this host there, which it knows exactly
 * @param others requests of the other hosts there, as they last reported
 * @param slots requests that the endpoint runs at once, above 0
 * @param runMilliseconds mean time of a request there, above 0
 * @param handicap load, in requests for each slot, by which the endpoint has to be less loaded than the others to be
 *     chosen like them; not negative
 */
public record ReportedLoad(int own, int others, int slots, double runMilliseconds, double handicap) {
    /** Checks the ranges. */
    public ReportedLoad {
        if (own < 0 || others < 0 || slots <= 0 || !(runMilliseconds > 0) || !(handicap >= 0)) {
            throw new IllegalArgumentException("invalid load: own " + own + ", others " + others + ", slots " + slots
                    + ", run time " + runMilliseconds + " ms, handicap " + handicap);
        }
    }

    /**
     * Returns the part of the reported requests that still run.
     *
     * @param reportAge age of the reports in milliseconds
     */
    double survivingPart(double reportAge) {
        return Math.exp(-reportAge / runMilliseconds);
    }
}
