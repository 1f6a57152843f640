package org.banyanstair.forwarding;

/** Why a request is refused; a refused request has not run and will not run. */
public enum RefusalReason {
    /** This host does not know a configuration yet. */
    NOT_READY,
    /** This host has to stop before it can send the request. */
    STOPPING,
    /** No route matches the request. */
    NO_ROUTE,
    /** The route needs a key, and the request has none or one that no team holds. */
    UNKNOWN_KEY,
    /** This host cannot tell whether the key of the request has been taken away. */
    KEYS_UNCONFIRMED,
    /** The team of the request has used its allotment on all hosts together. */
    ALLOTMENT_EXHAUSTED,
    /** The service is full, and the team of the request has had its share of it. */
    SHARE_EXCEEDED,
    /** The service has no endpoint that accepts requests. */
    NO_ENDPOINT,
    /** All endpoints of the service have asked this host for a pause. */
    ENDPOINTS_PAUSED,
    /** The requests of all hosts are up to the limits that the endpoints of the service have named. */
    ENDPOINTS_LIMITED,
    /** No endpoint can start the request before the caller stops waiting. */
    OVERLOADED,
    /** No runner can load the adapter now. */
    ADAPTER_UNAVAILABLE,
    /**
     * Several software versions may have begun the stream to resume, and it cannot be known which, or a service to which
     * its route does not lead any more began it.
     */
    STREAM_VERSION_UNKNOWN,
    /** No endpoint of the software version that began the stream to resume serves any more. */
    STREAM_VERSION_GONE,
    /** The request has crashed too many endpoints. */
    CRASHES_ENDPOINTS,
    /** This host has no memory for the body of the request. */
    HOST_MEMORY,
    /** The caller's deadline passed before the request was sent. */
    DEADLINE_PASSED
}
