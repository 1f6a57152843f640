package org.banyanstair.server.http;

import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;

/** What the connections of one listener share. Safe for use by several threads. */
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
     * Asks each connection to close unless a request is on it. The decision is made on the event loop of the
     * connection, so that no request is cut off that arrives at the same time.
     */
    void closeIdleConnections() {
        connections.forEach(channel -> channel.pipeline().fireUserEventTriggered(CloseIfIdle.EVENT));
    }

    /** Event that passes through the handlers of a connection until one knows of a request. */
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
