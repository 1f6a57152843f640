package org.banyanstair.forwarder.internal;

import java.time.Instant;

import org.banyanstair.forwarder.Protocols;
import org.banyanstair.forwarding.ForwardingEvent;
import org.banyanstair.forwarding.RequestLimits;

/** What connections need of the daemon; used on the thread of the connections only. */
public interface ForwarderContext {
    /**
     * Feeds an event to the reducer and carries out what it says.
     *
     * @param event the event
     */
    void submit(ForwardingEvent event);

    /**
     * Returns the present instant.
     *
     * @return the instant on the steady clock
     */
    Instant now();

    /**
     * Returns the protocols.
     *
     * @return the protocols
     */
    Protocols protocols();

    /**
     * Returns the connections to endpoints.
     *
     * @return the connections
     */
    EndpointConnectionPool connections();

    ForwarderMetrics metrics();

    /**
     * Returns the limits for requests in force.
     *
     * @return the limits
     */
    RequestLimits limits();

    /**
     * Returns whether the host stops, so that connections are closed after their answer.
     *
     * @return whether it stops
     */
    boolean isStopping();

    /**
     * Numbers a request and remembers it until it ends.
     *
     * @return its number
     */
    long nextExchangeNumber();

    /**
     * Remembers a request until it ends.
     *
     * @param exchange the request
     */
    void register(CallerExchange exchange);

    /**
     * Forgets a request that has ended.
     *
     * @param exchange its number
     */
    void unregister(long exchange);
}
