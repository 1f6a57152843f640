package org.banyanstair.server.http;

/** Handles the requests of one route. */
@FunctionalInterface
public interface ExchangeHandler {
    /**
     * Starts to handle a request; the response may be sent later, from any thread.
     *
     * <p>Called on the event loop of the connection, must not block.
     *
     * @throws org.banyanstair.errors.FailureException to respond with an error
     */
    void handle(Exchange exchange);
}
