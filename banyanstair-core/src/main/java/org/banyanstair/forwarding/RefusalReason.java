package org.banyanstair.forwarding;

/** Why a request is refused; in each case it has not run and never will. */
public enum RefusalReason {
    /** This host knows no configuration yet. */
    NOT_READY,
    /** No route matches. */
    NO_ROUTE,
    /** The service has no endpoint that takes requests. */
    NO_ENDPOINT,
    /** No endpoint can start the request before the caller stops waiting. */
    OVERLOADED,
    /** No runner can load the adapter now. */
    ADAPTER_UNAVAILABLE,
    /** The request has crashed too many endpoints. */
    CRASHES_ENDPOINTS,
    /** The caller stopped waiting before the request was sent. */
    DEADLINE_PASSED
}
