package org.banyanstair.server.http.caller;

/** Handles the authenticated requests of one route. Called on the event loop of the connection. */
@FunctionalInterface
interface CallerRequestHandler {
    /** Starts to handle the request; a thrown {@link org.banyanstair.errors.FailureException} rejects it. */
    void handle(CallerRequest request, org.banyanstair.model.CallerId caller);
}
