package org.banyanstair.forwarding;

/** How a host sees an endpoint. */
public enum EndpointCondition {
    /** It gets requests. */
    IN_USE,
    /** It failed a moment ago and gets none for a short time. */
    PAUSED,
    /** It leaves. */
    LEAVING,
    /** Its entry has gone. */
    GONE
}
