package org.banyanstair.burn;

import java.util.Map;

import org.banyanstair.configuration.Objective;
import org.banyanstair.model.ServiceId;

/**
 * Requests of one service within a time window, as one host or several hosts together saw them.
 *
 * @param requests requests that ended in the window; requests with an error of the caller do not count
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
     * Returns the burn rate: the share of bad requests divided by the share that the objective allows.
     *
     * @return 1 if the error budget is used up exactly as fast as it is granted; 0 without requests
     */
    @com.fasterxml.jackson.annotation.JsonIgnore
    public double burnRate() {
        return requests == 0 ? 0 : (double) (requests - good) / requests / (1 - objective.share());
    }
}
