package org.banyanstair.testsupport.load;

import java.time.Instant;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/** Starts one request of a load. */
@FunctionalInterface
public interface LoadOperation {
    /**
     * Starts a request. Must not block, because the next request would start late.
     *
     * @param sequence number of the request, from 0
     * @param random random numbers that depend only on the seed of the load and the sequence
     * @param intended when the request should start
     * @return the result; an exceptional completion counts as {@link LoadOutcome#FAILED}
     */
    CompletableFuture<LoadResult> start(long sequence, Random random, Instant intended);
}
