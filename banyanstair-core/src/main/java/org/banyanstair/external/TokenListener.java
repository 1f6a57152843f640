package org.banyanstair.external;

/** Receives the tokens and the result of one generation, in order and never concurrently. */
public interface TokenListener {
    /**
     * Handles the next token.
     *
     * @param index index of the token in the answer, from 0, without gaps
     * @param json the OpenAI {@code *.chunk} object that contains the token
     */
    void token(long index, String json);

    /** Handles the end of the generation; no call follows. */
    void end(GenerationResult end);
}
