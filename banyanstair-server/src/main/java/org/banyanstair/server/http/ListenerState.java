package org.banyanstair.server.http;

import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;

/** State shared by the connections of a listener. Thread-safe. */
final class ListenerState {
    private final AtomicInteger inFlight = new AtomicInteger();
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile boolean draining;

    void requestStarted() {
        inFlight.incrementAndGet();
    }

    void requestEnded() {
        inFlight.decrementAndGet();
    }

    int inFlight() {
        return inFlight.get();
    }

    ChannelGroup connections() {
        return connections;
    }

    /**
     * Asks each connection to close if it has no request. Each connection decides on its own event loop, so that a
     * request that arrives at the same time is not aborted.
     */
    void closeIdleConnections() {
        connections.forEach(channel -> channel.pipeline().fireUserEventTriggered(CloseIfIdle.EVENT));
    }

    /** Event passed along the pipeline of a connection until a handler with a request in progress consumes it. */
    enum CloseIfIdle {
        EVENT
    }

    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }
}
