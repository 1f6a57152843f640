package org.banyanstair.server.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.internal.netty.NettyHandler;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.multipart.DefaultHttpDataFactory;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * Jooby server with a Netty pipeline that reports disconnects and enforces the limits of {@link HttpListenerOptions}.
 *
 * <p>Jooby's own server has neither timeouts nor header limits, does not report that a client disconnected while
 * nothing is being written, and may choose io_uring.
 */
final class JoobyNettyServer extends Server.Base {
    /** Name of the HTTP codec handler; data written below it reaches the socket unmodified. */
    static final String HTTP_CODEC_HANDLER = "codec";

    private static final int MAXIMUM_CHUNK_BYTES = 8 * 1024;
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 5;

    private final HttpListenerOptions options;
    private final ListenerState state;
    private ServerOptions serverOptions = new ServerOptions();
    private EventLoopGroup eventLoops;
    private Channel serverChannel;
    private Jooby application;

    JoobyNettyServer(HttpListenerOptions options, ListenerState state) {
        this.options = options;
        this.state = state;
    }

    @Override
    public Server setOptions(ServerOptions newOptions) {
        serverOptions = newOptions;
        return this;
    }

    @Override
    public String getName() {
        return "netty";
    }

    @Override
    public ServerOptions getOptions() {
        return serverOptions;
    }

    @Override
    public Server start(Jooby jooby) {
        application = jooby;
        eventLoops = new NioEventLoopGroup(options.eventLoopThreads(), new DefaultThreadFactory("http", true));
        fireStart(List.of(jooby), eventLoops);
        serverChannel = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(new Initializer())
                .bind(options.ip(), options.port())
                .syncUninterruptibly()
                .channel();
        fireReady(List.of(jooby));
        return this;
    }

    int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    void stopAccepting() {
        if (serverChannel.isOpen()) {
            serverChannel.close().syncUninterruptibly();
        }
    }

    @Override
    public Server stop() {
        if (eventLoops.isShuttingDown()) {
            return this;
        }
        stopAccepting();
        state.connections().close().awaitUninterruptibly(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        fireStop(List.of(application));
        eventLoops
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return this;
    }

    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            int headerLimit = HttpListenerOptions.MAXIMUM_HEADER_BYTES;
            channel.pipeline()
                    .addLast(
                            "write-idle",
                            new IdleStateHandler(
                                    true, 0, options.requestTimeout().toMillis(), 0, TimeUnit.MILLISECONDS))
                    .addLast(HTTP_CODEC_HANDLER, new HttpServerCodec(headerLimit, headerLimit, MAXIMUM_CHUNK_BYTES))
                    .addLast("timeout", new RequestTimeoutHandler(options.requestTimeout(), options.idleTimeout()))
                    .addLast("aggregator", new BodyAggregator(options.bodyLimitBytes()))
                    .addLast("connection", new ConnectionHandler(state))
                    .addLast("handler", joobyHandler());
        }

        private NettyHandler joobyHandler() {
            return new NettyHandler(
                    eventLoops,
                    application,
                    options.bodyLimitBytes(),
                    MAXIMUM_CHUNK_BYTES,
                    new DefaultHttpDataFactory(false),
                    false,
                    false);
        }
    }
}
