package org.banyanstair.forwarding;

/** Why a request is refused; a refused request has not run and will not run. */
public enum RefusalReason {
    /** This host does not know a configuration yet. */
    NOT_READY,
    /** This host has to stop before it can send the request. */
    STOPPING,
    /** No route matches the request. */
    NO_ROUTE,
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
    /** The request has crashed too many endpoints. */
    CRASHES_ENDPOINTS,
    /** The caller's deadline passed before the request was sent. */
    DEADLINE_PASSED
}
