package org.banyanstair.external;

/** Receives the events of one generation, one at a time, in order. */
public interface TokenListener {
    /**
     * A chunk came.
     *
     * @param index index of the chunk's token in the answer, from 0, without gaps
     * @param json the chunk, an OpenAI {@code *.chunk} object
     */
    void token(long index, String json);

    /** The generation ended; nothing follows. */
    void end(GenerationResult end);
}
