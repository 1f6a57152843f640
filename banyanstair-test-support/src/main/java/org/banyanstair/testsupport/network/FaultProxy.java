package org.banyanstair.testsupport.network;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.fault.ReservedPort;

/**
 * TCP proxy on the loopback interface that can reset, refuse, stall and delay connections.
 *
 * <p>Thread-safe, but must not be called on an event loop. Methods return when the change is in force. A connection
 * that the target refuses is accepted and then reset.
 */
public final class FaultProxy {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final NetworkAddress target;
    private final EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("fault-proxy", true));
    // The next three fields are used only on the event loop.
    private final Set<Direction> stalledDirections = EnumSet.noneOf(Direction.class);
    private final List<ProxiedConnection> connections = new ArrayList<>();
    private long latencyNanos;
    private int port;
    private Channel listener;
    private ReservedPort reservedPort;

    /**
     * Creates a proxy that is not started.
     *
     * @param port TCP port to listen on, 0 for a free one
     */
    public FaultProxy(int port, NetworkAddress target) {
        this.port = port;
        this.target = target;
    }

    /** Starts listening and returns the address. */
    public synchronized NetworkAddress start() {
        listen();
        return address();
    }

    /** Closes the listening socket and resets all connections. The proxy cannot be started again. */
    public synchronized void stop() {
        if (reservedPort != null) {
            reservedPort.close();
        }
        if (listener != null) {
            listener.close().syncUninterruptibly();
        }
        resetConnections();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Returns the address, which does not change while connections are refused. */
    public synchronized NetworkAddress address() {
        return new NetworkAddress(LOOPBACK, port);
    }

    /** Resets all open connections on both sides; does not affect new ones. */
    public void resetConnections() {
        onEventLoop(() -> {
            forEachConnection(ProxiedConnection::resetBothSides);
            return null;
        });
    }

    /** Refuses new connections; does not affect open ones. */
    public synchronized void refuseConnections() {
        if (reservedPort == null) {
            listener.close().syncUninterruptibly();
            reservedPort = ReservedPort.reserve(port);
        }
    }

    /** Accepts new connections again. */
    public synchronized void acceptConnections() {
        if (reservedPort != null) {
            reservedPort.close();
            reservedPort = null;
            listen();
        }
    }

    /** Permanently stops forwarding on all open connections without closing them; does not affect new ones. */
    public void stallOpenConnections() {
        onEventLoop(() -> {
            forEachConnection(ProxiedConnection::stall);
            return null;
        });
    }

    /**
     * Stops or resumes forwarding in one direction of all open and future connections, without losing data.
     *
     * @param stalled true to stop forwarding
     */
    public void setStalled(Direction direction, boolean stalled) {
        onEventLoop(() -> {
            if (stalled) {
                stalledDirections.add(direction);
            } else {
                stalledDirections.remove(direction);
            }
            applyFaultsToAll();
            return null;
        });
    }

    /**
     * Sets the latency of all open and future connections.
     *
     * @param oneWay delay of the data in each direction
     */
    public void setLatency(Duration oneWay) {
        onEventLoop(() -> {
            latencyNanos = oneWay.toNanos();
            applyFaultsToAll();
            return null;
        });
    }

    /** Returns the number of open connections, including stalled ones. */
    public int openConnections() {
        return onEventLoop(connections::size);
    }

    private void applyFaultsToAll() {
        forEachConnection(connection -> connection.applyFaults(latencyNanos, stalledDirections));
    }

    /** Iterates over a copy, because a connection that the action closes is removed from the list. */
    private void forEachConnection(Consumer<ProxiedConnection> action) {
        List.copyOf(connections).forEach(action);
    }

    private <T> T onEventLoop(Callable<T> task) {
        return group.next().submit(task).syncUninterruptibly().getNow();
    }

    private void listen() {
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(this::onAccepted))
                .bind(LOOPBACK, port)
                .syncUninterruptibly()
                .channel();
        port = ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private void onAccepted(SocketChannel client) {
        ChannelFuture connecting = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(initializer(channel -> {}))
                .connect(target.ip(), target.port());
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                onConnected(client, connecting.channel());
            } else {
                ProxiedConnection.reset(client);
            }
        });
    }

    private void onConnected(Channel client, Channel targetChannel) {
        ProxiedConnection connection = new ProxiedConnection(client, targetChannel);
        connections.add(connection);
        client.closeFuture().addListener(closed -> removeIfClosed(connection));
        targetChannel.closeFuture().addListener(closed -> removeIfClosed(connection));
        connection.applyFaults(latencyNanos, stalledDirections);
    }

    private void removeIfClosed(ProxiedConnection connection) {
        if (connection.isClosed()) {
            connections.remove(connection);
            connection.release();
        }
    }

    private static ChannelInitializer<SocketChannel> initializer(Consumer<SocketChannel> action) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                action.accept(channel);
            }
        };
    }
}
