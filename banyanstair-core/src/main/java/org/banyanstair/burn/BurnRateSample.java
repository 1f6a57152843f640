package org.banyanstair.burn;

import java.util.Map;

import org.banyanstair.configuration.Objective;
import org.banyanstair.model.ServiceId;

/**
 * Request counts of one service within a time window, from one host or summed over several hosts.
 *
 * @param requests requests that ended in the window, without those that failed by an error of the caller
 * @param good requests that succeeded within the latency of the objective
 * @param failures failed requests by failure code
 */
public record BurnRateSample(
        ServiceId service,
        Objective objective,
        int windowMinutes,
        long requests,
        long good,
        Map<String, Long> failures) {
    /** Copies the map. */
    public BurnRateSample {
        failures = Map.copyOf(failures);
    }

    /**
     * Returns the burn rate: the ratio of the share of bad requests to the share that the objective allows.
     *
     * @return 1 if the error budget is consumed exactly as fast as the objective allows; 0 without requests
     */
    @com.fasterxml.jackson.annotation.JsonIgnore
    public double burnRate() {
        return requests == 0 ? 0 : (double) (requests - good) / requests / (1 - objective.share());
    }
}
