package org.banyanstair.testsupport.fault;

import java.util.concurrent.CompletableFuture;

/** An HTTP operation of a platform stand-in. */
@FunctionalInterface
public interface Operation {
    /**
     * Runs the operation on an event loop or the timer thread; must not block.
     *
     * @throws IllegalArgumentException if the request is malformed; results in status 400
     */
    CompletableFuture<Reply> run(Request request);
}
