package org.banyanstair.forwarding;

/** State of an endpoint as a host sees it. */
public enum EndpointCondition {
    /** Receives requests. */
    IN_USE,
    /** Failed recently and receives no requests for a short time. */
    PAUSED,
    /** Draining; receives no new requests. */
    LEAVING,
    /** No longer listed in the registry. */
    GONE
}
