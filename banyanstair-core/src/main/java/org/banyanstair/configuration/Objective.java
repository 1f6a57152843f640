package org.banyanstair.configuration;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/**
 * Service-level objective: the share of requests that succeed within a latency.
 *
 * @param latencyMilliseconds time to the first token, or to the answer of a plain call; 1 to 600,000 ms
 * @param share share of requests that must succeed within the latency, above 0 and below 1
 */
public record Objective(int latencyMilliseconds, double share) {
    /** Used for a service that declares none: 95 % of the requests get their first token within 420 ms. */
    public static final Objective DEFAULT = new Objective(420, 0.95);

    /** Checks the ranges. */
    public Objective {
        if (latencyMilliseconds < 1 || latencyMilliseconds > 600_000) {
            throw new FailureException(
                    new Failure.InvalidField("objective.latency-milliseconds", "a whole number from 1 to 600000"));
        }
        if (!(share > 0 && share < 1)) {
            throw new FailureException(new Failure.InvalidField("objective.share", "a number between 0 and 1"));
        }
    }
}
