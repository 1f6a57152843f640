package org.banyanstair.testsupport.load;

import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Results of a load. Histograms are in microseconds and, except for {@code startDelay}, cover answered requests only.
 *
 * @param unfinished requests without a result at the end of the drain time
 * @param codes finished requests that were not answered, by failure code
 * @param latency time from the intended start to the end of the response
 * @param firstToken time from the intended start to the first token
 * @param tokenGap time between tokens
 * @param startDelay time from the intended to the actual start of all requests; large if the generator is overloaded
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
    /** Makes unmodifiable copies of the maps. */
    public LoadReport {
        outcomes = Map.copyOf(outcomes);
        codes = Map.copyOf(codes);
    }

    /** Returns the number of requests with an outcome. */
    public long count(LoadOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }
}
