package org.banyanstair.testsupport.load;

import java.time.Instant;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/** Operation that a load generator runs for each request. */
@FunctionalInterface
public interface LoadOperation {
    /**
     * Starts a request. Must not block, because this would delay the next requests.
     *
     * @param sequence number of the request, from 0
     * @param random depends only on the seed of the load and the sequence number
     * @param intended when the request should start
     * @return the result; an exceptional completion counts as {@link LoadOutcome#FAILED}
     */
    CompletableFuture<LoadResult> start(long sequence, Random random, Instant intended);
}
