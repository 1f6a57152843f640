package org.banyanstair.server.http;

/** Serves the requests of one route. */
@FunctionalInterface
public interface ExchangeHandler {
    /**
     * Starts to serve a request; the response may be sent later, from any thread.
     *
     * <p>Runs on the event loop of the connection and must not block.
     *
     * @param exchange request and response
     * @throws org.banyanstair.errors.FailureException to answer with an error
     */
    void handle(Exchange exchange);
}
