package org.banyanstair.server.service;

import org.banyanstair.errors.Failure;

/** Receives the answer of a generation. */
public interface GenerationSink {
    /**
     * An attempt on an engine is about to start.
     *
     * @param loadStallMilliseconds time that the request waited for a load of its adapter
     */
    default void attemptStarting(long loadStallMilliseconds) {}

    /**
     * A chunk came.
     *
     * @param index index of the token, from 0, without gaps
     * @param json OpenAI chunk object as the engine sent it
     */
    void token(long index, String json);

    /** The whole answer was delivered. */
    void completed();

    /**
     * The generation failed; nothing follows.
     *
     * @param failure why; {@link Failure#outcome} tells whether it ran
     */
    void failed(Failure failure);
}
