package org.banyanstair.forwarder;

import org.banyanstair.forwarding.ForwardRequest;

/** What a caller's request says, or why it cannot be understood. */
public sealed interface ParsedRequest {
    /**
     * A request that can be passed on.
     *
     * @param request the request
     */
    record Valid(ForwardRequest request) implements ParsedRequest {}

    /**
     * A request that is refused for good.
     *
     * @param field the field that is missing or malformed
     * @param accepted what is accepted there
     */
    record Malformed(String field, String accepted) implements ParsedRequest {}
}
