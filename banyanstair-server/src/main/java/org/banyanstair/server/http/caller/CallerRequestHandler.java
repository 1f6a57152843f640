package org.banyanstair.server.http.caller;

/** Serves authenticated requests of one route, on the event loop of the connection. */
@FunctionalInterface
interface CallerRequestHandler {
    /** Starts to serve the request; a thrown {@link org.banyanstair.errors.FailureException} refuses it. */
    void handle(CallerRequest request, org.banyanstair.model.CallerId caller);
}
