package org.banyanstair.integration.generations;

import java.util.List;
import java.util.Map;

/**
 * What the callers of a run saw.
 *
 * @param answered requests with a whole answer
 * @param wrong answers of another version or with another text, and attempts on another adapter
 * @param failures number of requests without an answer by code
 */
public record TrafficReport(int answered, List<String> wrong, Map<String, Integer> failures) {
    /** Copies the collections. */
    public TrafficReport {
        wrong = List.copyOf(wrong);
        failures = Map.copyOf(failures);
    }

    /**
     * Counts the requests without an answer.
     *
     * @return their number
     */
    public int failed() {
        return failures.values().stream().mapToInt(Integer::intValue).sum();
    }
}
