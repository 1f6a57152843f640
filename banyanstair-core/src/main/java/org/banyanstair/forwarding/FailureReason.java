package org.banyanstair.forwarding;

/** Why a request that may have run gets no answer of its endpoint. */
public enum FailureReason {
    /** The deadline passed. */
    TIMED_OUT,
    /** The endpoint broke off or sent something that is no answer. */
    ENDPOINT_FAILED
}
