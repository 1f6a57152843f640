package org.banyanstair.server.service;

import org.banyanstair.errors.Failure;

/** Receives the response of a generation. */
public interface GenerationSink {
    /**
     * Called when an attempt on an engine is about to start.
     *
     * @param loadStallMilliseconds time that the request waited for its adapter to load
     */
    default void attemptStarting(long loadStallMilliseconds) {}

    /**
     * Called for each chunk.
     *
     * @param index index of the token, from 0, without gaps
     * @param json OpenAI chunk object as the engine sent it
     */
    void token(long index, String json);

    /** Called when the complete response has been delivered; no further calls follow. */
    void completed();

    /**
     * Called when the generation has failed; no further calls follow.
     *
     * @param failure the cause; {@link Failure#outcome} tells whether the request may have run
     */
    void failed(Failure failure);
}
