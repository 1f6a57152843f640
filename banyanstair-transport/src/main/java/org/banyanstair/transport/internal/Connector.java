package org.banyanstair.transport.internal;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import org.banyanstair.model.NetworkAddress;

/** Opens TCP connections. */
@FunctionalInterface
public interface Connector {
    /**
     * Starts to connect.
     *
     * @param eventLoop event loop that serves the connection
     * @param address where to connect
     * @param connection last handler of the pipeline
     * @return completed when the TCP connection is established or has failed
     */
    ChannelFuture connect(EventLoop eventLoop, NetworkAddress address, Connection connection);
}
