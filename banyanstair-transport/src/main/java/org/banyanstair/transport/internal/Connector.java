package org.banyanstair.transport.internal;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import org.banyanstair.model.NetworkAddress;

/** Opens TCP connections to peers. */
@FunctionalInterface
public interface Connector {
    /**
     * Starts to connect.
     *
     * @param eventLoop event loop that serves the connection
     * @param connection last handler of the pipeline
     * @return completes when the TCP connection is established or has failed
     */
    ChannelFuture connect(EventLoop eventLoop, NetworkAddress address, Connection connection);
}
