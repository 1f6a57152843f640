package org.banyanstair.forwarder;

/** Classification of an endpoint's response by its head. */
public enum ResponseKind {
    /** A response to the request that was sent. */
    ANSWER,
    /** The endpoint did not run the request, because it is at capacity. */
    FULL,
    /**
     * The endpoint did not run the request, because the request is for another endpoint or needs what it does not
     * hold.
     */
    NOT_HERE,
    /** A response to a different request. */
    FOREIGN,
    /** Not a valid response of an endpoint. */
    INVALID
}
