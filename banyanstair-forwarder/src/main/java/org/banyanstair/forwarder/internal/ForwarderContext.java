package org.banyanstair.forwarder.internal;

import java.time.Instant;

import org.banyanstair.forwarder.Protocols;
import org.banyanstair.forwarding.DecisionRecord;
import org.banyanstair.forwarding.ForwardingEvent;
import org.banyanstair.forwarding.RequestLimits;
import org.banyanstair.model.EndpointId;

/** The daemon as seen by its connections. Used on the event loop thread only. */
public interface ForwarderContext {
    /** Feeds an event to the reducer and executes the resulting effects. */
    void submit(ForwardingEvent event);

    /** Returns the current instant of the monotonic clock. */
    Instant now();

    /** Returns the earliest instant at which what is read now may have arrived; now if the host keeps up. */
    Instant earliestArrival();

    /** Returns when the answer to what is sent now is read at the earliest; now if the host keeps up. */
    Instant nextRead();

    Protocols protocols();

    EndpointConnectionPool connections();

    ForwarderMetrics metrics();

    /** Returns the bounds of what is held for callers and endpoints. */
    ConnectionMemoryBudget memory();

    /** Writes a line to the decision log and counts it. */
    void log(DecisionRecord decision);

    /** Returns the request limits of the configuration in force. */
    RequestLimits limits();

    /** Returns whether an endpoint has named a limit of its requests, so that a response without one matters. */
    boolean isLimited(EndpointId endpoint);

    /** Returns whether the host is stopping, so that connections are closed after their response. */
    boolean isStopping();

    /** Returns the number of a new exchange. */
    long nextExchangeNumber();

    /** Registers an exchange until {@link #unregister}. */
    void register(CallerExchange exchange);

    /** Removes an exchange that has ended. */
    void unregister(long exchange);

    /** Registers a connection until {@link #closed}. */
    void opened(CallerConnection connection);

    /** Removes a connection that has been closed. */
    void closed(CallerConnection connection);

    /** Records a request whose caller was not sent the whole response. */
    void logUndelivered(UndeliveredResponse response);
}
