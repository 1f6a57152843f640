package org.banyanstair.integration.generations;

import java.util.List;
import java.util.Map;

/**
 * The outcomes that callers saw during a run of chat traffic.
 *
 * @param answered number of requests with a complete answer
 * @param wrong descriptions of answers by another version or with another text, and of attempts on another adapter
 * @param failures number of requests without an answer by code
 */
public record TrafficReport(int answered, List<String> wrong, Map<String, Integer> failures) {
    /** Copies the collections. */
    public TrafficReport {
        wrong = List.copyOf(wrong);
        failures = Map.copyOf(failures);
    }

    /** Returns the number of requests without an answer. */
    public int failed() {
        return failures.values().stream().mapToInt(Integer::intValue).sum();
    }
}
