package org.banyanstair.forwarding;

import java.util.List;
import java.util.stream.Collectors;

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

    /** Returns the ids of the parts in hexadecimal, for the decision log. */
    static String format(List<PromptPart> prompt) {
        return prompt.stream().map(part -> Long.toHexString(part.id())).collect(Collectors.joining(","));
    }
}
