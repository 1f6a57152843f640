package org.banyanstair.testsupport.fault;

import java.util.concurrent.CompletableFuture;

/** One operation of a stand-in. */
@FunctionalInterface
public interface Operation {
    /**
     * Runs the operation. Called on an event loop or a timer thread, so it must not block.
     *
     * @param request the request
     * @return the answer
     * @throws IllegalArgumentException if the request is malformed; answered with status 400
     */
    CompletableFuture<Reply> run(Request request);
}
