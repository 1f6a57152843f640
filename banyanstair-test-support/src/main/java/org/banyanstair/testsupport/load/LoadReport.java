package org.banyanstair.testsupport.load;

import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Results of a load. All histograms are in microseconds and contain answered requests only.
 *
 * @param started requests started
 * @param unfinished requests without a result at the end of the drain time
 * @param outcomes finished requests by outcome
 * @param codes finished requests without an answer by failure code
 * @param latency time from the intended start to the end of the answer
 * @param firstToken time from the intended start to the first token
 * @param tokenGap time between tokens
 * @param startDelay time from the intended to the actual start of all requests; large if the load generator is too slow
 */
public record LoadReport(
        long started,
        long unfinished,
        Map<LoadOutcome, Long> outcomes,
        Map<String, Long> codes,
        Histogram latency,
        Histogram firstToken,
        Histogram tokenGap,
        Histogram startDelay) {
    /** Copies the maps. */
    public LoadReport {
        outcomes = Map.copyOf(outcomes);
        codes = Map.copyOf(codes);
    }

    /**
     * Returns the number of requests with an outcome.
     *
     * @param outcome the outcome
     * @return 0 or more
     */
    public long count(LoadOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }
}
