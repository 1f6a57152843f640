package org.banyanstair.forwarder;

/** What the head of an endpoint's answer says. */
public enum ResponseKind {
    /** An answer to the request. */
    ANSWER,
    /** The endpoint did not run the request because it is full. */
    FULL,
    /** The endpoint did not run the request because it is another one or lacks what the request needs. */
    NOT_HERE,
    /** The answer belongs to another request. */
    FOREIGN,
    /** Bytes that are no answer of an endpoint. */
    INVALID
}
