package org.banyanstair.forwarding;

/** Why a request that may have run is answered with a failure. */
public enum FailureReason {
    /** The deadline passed. */
    TIMED_OUT,
    /** This host has to stop before the answer is complete. */
    STOPPING,
    /** The endpoint closed the connection early or sent an invalid answer. */
    ENDPOINT_FAILED,
    /** Requests with a part of its prompt crash endpoints, so it was stopped on its endpoint. */
    CRASHES_ENDPOINTS
}
