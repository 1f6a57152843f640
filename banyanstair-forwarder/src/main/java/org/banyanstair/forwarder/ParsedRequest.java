package org.banyanstair.forwarder;

import org.banyanstair.forwarding.ForwardRequest;

/** Result of parsing a caller's request. */
public sealed interface ParsedRequest {
    /** A request that can be forwarded. */
    record Valid(ForwardRequest request) implements ParsedRequest {}

    /**
     * A request that cannot be parsed; a retry would fail as well.
     *
     * @param field the missing or malformed field
     * @param accepted describes the accepted values of the field
     */
    record Malformed(String field, String accepted) implements ParsedRequest {}
}
