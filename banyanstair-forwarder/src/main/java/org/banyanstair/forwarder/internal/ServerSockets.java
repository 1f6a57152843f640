package org.banyanstair.forwarder.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import org.banyanstair.model.NetworkAddress;

/** Server sockets of a host. */
public final class ServerSockets {
    /** Callers of a failed host reconnect to the other hosts all at the same time. */
    private static final int ACCEPT_BACKLOG = 1024;

    private static final int REQUEST_LINE_LIMIT_BYTES = 8 << 10;

    private static final int MAXIMUM_CHUNK_BYTES = 64 << 10;

    /**
     * Buffer of a socket for responses. The kernel would let it grow to several megabytes for each caller that does not
     * read, which count as memory of the process. Enough for 10 Mbit/s at a round trip of 50 ms.
     */
    static final int SEND_BUFFER_BYTES = 64 << 10;

    /** Buffer of a socket for requests, which holds bytes while earlier requests of the connection wait. */
    private static final int RECEIVE_BUFFER_BYTES = 128 << 10;

    private static final int QUERY_HEADER_LIMIT_BYTES = 8 << 10;

    /** Idle time after which a connection for short requests is closed. */
    private static final int QUERY_IDLE_TIMEOUT_SECONDS = 30;

    private final EventLoopGroup group;
    private final List<Channel> channels = new ArrayList<>();

    /** Creates an instance without open sockets. */
    public ServerSockets(EventLoopGroup group) {
        this.group = group;
    }

    /** Opens the socket for callers. */
    public void listenForCallers(NetworkAddress address, ForwarderContext forwarder) {
        listen(address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                StrictRequestDecoder decoder = new StrictRequestDecoder(
                        REQUEST_LINE_LIMIT_BYTES, forwarder.limits().headerBytes(), MAXIMUM_CHUNK_BYTES);
                CallerConnection connection = new CallerConnection(forwarder, decoder);
                channel.pipeline()
                        .addLast(connection.byteCounter())
                        .addLast(decoder)
                        .addLast(new HttpResponseEncoder())
                        .addLast(connection);
            }
        });
    }

    /**
     * Opens a socket for short requests without a body.
     *
     * @param handlerFactory creates the handler of a connection
     */
    public void listenForQueries(NetworkAddress address, Supplier<ChannelHandler> handlerFactory) {
        listen(address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(new IdleStateHandler(0, 0, QUERY_IDLE_TIMEOUT_SECONDS))
                        .addLast(new HttpServerCodec(
                                REQUEST_LINE_LIMIT_BYTES, QUERY_HEADER_LIMIT_BYTES, MAXIMUM_CHUNK_BYTES))
                        .addLast(handlerFactory.get());
            }
        });
    }

    private void listen(NetworkAddress address, ChannelHandler initializer) {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                // Otherwise connections stay in the backlog over several rounds of a loop that is behind.
                .option(ChannelOption.MAX_MESSAGES_PER_READ, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childHandler(initializer)
                .bind(address.ip(), address.port())
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new UncheckedIOException(new IOException("cannot listen on " + address, bound.cause()));
        }
        channels.add(bound.channel());
    }

    /** Closes all server sockets; open connections remain. */
    public void close() {
        channels.forEach(Channel::close);
    }
}
