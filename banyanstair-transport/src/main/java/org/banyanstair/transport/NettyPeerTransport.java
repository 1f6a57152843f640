package org.banyanstair.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.transport.internal.Connection;
import org.banyanstair.transport.internal.CounterSet;
import org.banyanstair.transport.internal.FrameCodec;
import org.banyanstair.transport.internal.PeerLink;
import org.banyanstair.transport.internal.TransportContext;
import org.tinylog.Logger;

/**
 * Peer transport over TCP, based on Netty.
 *
 * <p>The listener is notified of all events of one peer in order and from one thread; events of different peers may be
 * reported concurrently by several threads of the group. A transport is started and stopped once.
 */
public final class NettyPeerTransport implements PeerTransport {
    /** Version of the protocol between hosts; connections from hosts with another version are rejected. */
    public static final int PROTOCOL_VERSION = 1;

    private static final int THREADS = 2;

    /** Allows all peers of a large cluster to connect at the same moment, as they do after a switch recovers. */
    private static final int ACCEPT_BACKLOG = 512;

    /**
     * Above the high-water mark, messages wait in the bounded queue of the peer instead of Netty's unbounded buffer.
     */
    private static final WriteBufferWaterMark WATER_MARKS = new WriteBufferWaterMark(64 << 10, 256 << 10);

    private static final int STOP_TIMEOUT_SECONDS = 5;

    private final PeerTransportSettings settings;
    private final PeerListener listener;
    private final CounterSet counters = new CounterSet();
    private final Map<HostId, PeerLink> links = new ConcurrentHashMap<>();
    private final EventLoopGroup group;
    private final boolean ownsGroup;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final EventLoop transportEventLoop;
    private final TransportContext context;
    private volatile EncodedMessage lastEncoded;

    private record EncodedMessage(PeerMessage message, byte[] frame) {}

    /**
     * Creates a transport with its own event loop threads.
     *
     * @param addressLookup looks up the address of a peer; called on the transport's threads, must not block
     * @param listener receives messages and connection events
     * @param clock clock for detecting idle connections
     */
    public NettyPeerTransport(
            PeerTransportSettings settings,
            Function<HostId, Optional<NetworkAddress>> addressLookup,
            PeerListener listener,
            InstantSource clock) {
        this(
                settings,
                addressLookup,
                listener,
                clock,
                new NioEventLoopGroup(THREADS, new DefaultThreadFactory("banyanstair-peer", true)),
                true);
    }

    /**
     * Creates a transport on an existing event loop group, which avoids a thread switch per message.
     *
     * @param addressLookup looks up the address of a peer; called on the transport's threads, must not block
     * @param listener receives messages and connection events
     * @param clock clock for detecting idle connections
     * @param group event loops; they are not stopped with the transport, and {@link #start} must not be called on them
     */
    public static NettyPeerTransport withEventLoopGroup(
            PeerTransportSettings settings,
            Function<HostId, Optional<NetworkAddress>> addressLookup,
            PeerListener listener,
            InstantSource clock,
            EventLoopGroup group) {
        return new NettyPeerTransport(settings, addressLookup, listener, clock, group, false);
    }

    private NettyPeerTransport(
            PeerTransportSettings settings,
            Function<HostId, Optional<NetworkAddress>> addressLookup,
            PeerListener listener,
            InstantSource clock,
            EventLoopGroup group,
            boolean ownsGroup) {
        this.group = group;
        this.ownsGroup = ownsGroup;
        this.transportEventLoop = group.next();
        this.settings = settings;
        this.listener = listener;
        this.context =
                new TransportContext(settings, addressLookup, listener, clock, counters, this::connect, this::link);
    }

    /**
     * Binds the peer address and starts to accept connections.
     *
     * @throws UncheckedIOException if the address cannot be bound
     */
    @Override
    public void start() {
        NetworkAddress address = settings.bindAddress();
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARKS)
                .childHandler(channelInitializer(() -> new Connection(context, Optional.empty())))
                .bind(address.ip(), address.port())
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            stop();
            throw new UncheckedIOException(new IOException("cannot bind peer address " + address, bound.cause()));
        }
        channels.add(bound.channel());
        long interval = settings.heartbeatInterval().toMillis();
        transportEventLoop.scheduleWithFixedDelay(
                () -> links.values().forEach(PeerLink::reconnectIfWatched), interval, interval, TimeUnit.MILLISECONDS);
        Logger.info("host {} listens for peers on {}", settings.identity(), address);
    }

    @Override
    public void stop() {
        links.values().forEach(PeerLink::stop);
        channels.close().awaitUninterruptibly(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (ownsGroup) {
            group.shutdownGracefully(0, STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .awaitUninterruptibly(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    @Override
    public void send(HostId peer, PeerMessage message) {
        if (peer.equals(settings.identity().host())) {
            deliverLocally(message);
        } else {
            link(peer).send(encode(message));
        }
    }

    /**
     * Encodes a message. The last result is cached, so that a message sent to several peers in a row is encoded only
     * once.
     */
    private byte[] encode(PeerMessage message) {
        EncodedMessage known = lastEncoded;
        if (known == null || known.message() != message) {
            known = new EncodedMessage(message, FrameCodec.encode(message));
            lastEncoded = known;
        }
        return known.frame();
    }

    private void deliverLocally(PeerMessage message) {
        try {
            transportEventLoop.execute(() -> listener.received(settings.identity(), message));
        } catch (RejectedExecutionException exception) {
            Logger.debug("transport stopped; dropped a message to this host");
        }
    }

    @Override
    public void watch(HostId peer) {
        if (!peer.equals(settings.identity().host())) {
            link(peer).setWatched(true);
        }
    }

    @Override
    public void unwatch(HostId peer) {
        Optional.ofNullable(links.get(peer)).ifPresent(link -> link.setWatched(false));
    }

    /** Returns the totals since the transport was created. */
    public TransportCounters counters() {
        return counters.snapshot();
    }

    private PeerLink link(HostId peer) {
        PeerLink known = links.get(peer);
        return known != null ? known : link(peer, group.next());
    }

    private PeerLink link(HostId peer, EventLoop loop) {
        return links.computeIfAbsent(peer, host -> new PeerLink(context, host, loop));
    }

    private ChannelFuture connect(EventLoop loop, NetworkAddress address, Connection connection) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        settings.connectTimeout().toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARKS)
                .handler(channelInitializer(() -> connection))
                .connect(address.ip(), address.port());
    }

    private ChannelInitializer<Channel> channelInitializer(Supplier<Connection> connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channels.add(channel);
                int length = FrameCodec.LENGTH_BYTES;
                channel.pipeline()
                        .addLast(new IdleStateHandler(
                                settings.heartbeatTimeout().toMillis(), 0, 0, TimeUnit.MILLISECONDS))
                        .addLast(new LengthFieldBasedFrameDecoder(
                                settings.maximumFrameBytes() + length, 0, length, 0, length))
                        .addLast(connection.get());
            }
        };
    }
}
