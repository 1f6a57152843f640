package org.banyanstair.testsupport.load;

import java.time.Instant;
import java.util.List;

/**
 * Result of one request of a load.
 *
 * @param outcome how it ended
 * @param code failure code, empty for an answered request
 * @param tokenTimes arrival times of the tokens, empty if the answer was not streamed
 */
public record LoadResult(LoadOutcome outcome, String code, List<Instant> tokenTimes) {
    /** Makes an unmodifiable copy of the list. */
    public LoadResult {
        tokenTimes = List.copyOf(tokenTimes);
    }
}
