package org.banyanstair.testsupport.load;

import java.time.Instant;
import java.util.List;

/**
 * Result of one request of a load.
 *
 * @param outcome how it ended
 * @param code failure code, empty for an answer
 * @param tokenTimes when each token came, in order; empty if the answer was not streamed
 */
public record LoadResult(LoadOutcome outcome, String code, List<Instant> tokenTimes) {
    /** Copies the list. */
    public LoadResult {
        tokenTimes = List.copyOf(tokenTimes);
    }
}
