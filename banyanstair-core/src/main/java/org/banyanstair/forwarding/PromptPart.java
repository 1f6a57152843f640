package org.banyanstair.forwarding;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id identifies the content
 * @param tokens length in tokens, at least 0
 */
public record PromptPart(long id, int tokens) {
    public PromptPart {
        if (tokens < 0) {
            throw new IllegalArgumentException("negative length of a prompt part: " + tokens + " tokens");
        }
    }
}
