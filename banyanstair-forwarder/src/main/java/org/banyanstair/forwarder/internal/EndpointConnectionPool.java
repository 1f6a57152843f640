package org.banyanstair.forwarder.internal;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import org.banyanstair.model.NetworkAddress;

/**
 * Pool of HTTP/1.1 keep-alive connections to endpoints and to the log service, with one call at a time on each.
 *
 * <p>Used on the event loop thread only.
 */
public final class EndpointConnectionPool {
    private static final int STATUS_LINE_LIMIT_BYTES = 8 << 10;

    private static final int HEADER_LIMIT_BYTES = 32 << 10;

    private static final int MAXIMUM_CHUNK_BYTES = 64 << 10;

    /**
     * Buffer of a socket for responses, which holds bytes while a caller reads slowly. The kernel would let it grow to
     * several megabytes. Enough for 45 MB a second at the longest round trips between data centres.
     */
    private static final int RECEIVE_BUFFER_BYTES = 64 << 10;

    /** Buffer of a socket for requests; fits a long prompt, and shows soon that an endpoint does not read. */
    private static final int SEND_BUFFER_BYTES = 128 << 10;

    private final EventLoop loop;
    private final ConnectionMemoryBudget memoryBudget;
    private final RejectedResponses rejectedResponses;
    private final Duration connectTimeout;
    private final Map<NetworkAddress, Deque<EndpointConnection>> idle = new HashMap<>();
    private final EndpointBacklog backlog = new EndpointBacklog();
    private long openedTotal;

    /**
     * Creates an empty pool.
     *
     * @param memoryBudget shared by all connections of the host
     * @param rejectedResponses records invalid responses
     */
    public EndpointConnectionPool(
            EventLoop loop,
            Duration connectTimeout,
            ConnectionMemoryBudget memoryBudget,
            RejectedResponses rejectedResponses) {
        this.loop = loop;
        this.memoryBudget = memoryBudget;
        this.rejectedResponses = rejectedResponses;
        this.connectTimeout = connectTimeout;
    }

    /** Returns the total number of connections opened since the start. */
    public long openedTotal() {
        return openedTotal;
    }

    /**
     * Sends a request on an idle connection, or on a new one.
     *
     * @param request released after it has been written
     * @param listener receives the response
     */
    public EndpointCall send(NetworkAddress address, FullHttpRequest request, ResponseListener listener) {
        return send(address, request, listener, new HashSet<>());
    }

    /**
     * Sends one of several attempts of a request on an idle connection, or on a new one.
     *
     * @param request released after it has been written
     * @param listener receives the response
     * @param used connections of earlier attempts; the connection of this one is added
     */
    EndpointCall send(
            NetworkAddress address, FullHttpRequest request, ResponseListener listener, Set<EndpointConnection> used) {
        Optional<EndpointConnection> idleConnection =
                takeIdle(address, connection -> !connection.isProcessChecked() || !used.contains(connection));
        if (idleConnection.isPresent()) {
            EndpointCall call = new EndpointCall(listener, true, !used.add(idleConnection.get()));
            idleConnection.get().start(call, request);
            return call;
        }
        EndpointCall call = new EndpointCall(listener);
        open(
                address,
                call,
                connection -> {
                    used.add(connection);
                    connection.start(call, request);
                },
                request::release);
        return call;
    }

    /**
     * Opens a connection for a call.
     *
     * @param opened called with the connection, unless the call has ended meanwhile
     * @param failed called before the call ends without being sent
     */
    void open(NetworkAddress address, EndpointCall call, Consumer<EndpointConnection> opened, Runnable failed) {
        openedTotal++;
        EndpointConnection connection = new EndpointConnection(
                this,
                address,
                new EndpointCodec(new HttpDecoderConfig()
                        .setMaxInitialLineLength(STATUS_LINE_LIMIT_BYTES)
                        .setMaxHeaderSize(HEADER_LIMIT_BYTES)
                        .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)));
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(connection.byteCounter())
                                .addLast(connection.codec())
                                .addLast(connection);
                    }
                })
                .connect(address.ip(), address.port());
        call.attach(connecting.channel());
        connecting.addListener(future -> {
            if (!future.isSuccess()) {
                failed.run();
                call.connectFailed(isRefusal(future.cause()));
            } else if (call.isFinished()) {
                failed.run();
                connecting.channel().close();
            } else if (!call.listener().awaitsResponse()) {
                failed.run();
                connecting.channel().close();
                call.expire();
            } else {
                opened.accept(connection);
            }
        });
    }

    /**
     * Opens a connection and closes it again.
     *
     * @param refused called if the address refuses it, as when no process listens there
     */
    public void check(NetworkAddress address, Runnable refused) {
        openedTotal++;
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address.ip(), address.port())
                .addListener((ChannelFuture connecting) -> {
                    if (connecting.isSuccess()) {
                        connecting.channel().close();
                    } else if (isRefusal(connecting.cause())) {
                        refused.run();
                    }
                });
    }

    /** A connection that was accepted and reset before its opening was noticed fails with another exception. */
    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    private Optional<EndpointConnection> takeIdle(NetworkAddress address, Predicate<EndpointConnection> suitable) {
        Iterator<EndpointConnection> candidates =
                idle.getOrDefault(address, new ArrayDeque<>()).descendingIterator();
        while (candidates.hasNext()) {
            EndpointConnection connection = candidates.next();
            if (!connection.isUsable()) {
                candidates.remove();
                connection.close();
            } else if (suitable.test(connection)) {
                candidates.remove();
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    /**
     * Takes an idle connection, preferably one that is known to lead to a process. Closes those that lead to another
     * one.
     *
     * @param process start of the process, in milliseconds since 1970
     * @param used connections that are left idle
     */
    Optional<EndpointConnection> takeIdle(NetworkAddress address, long process, Set<EndpointConnection> used) {
        List.copyOf(idle.getOrDefault(address, new ArrayDeque<>())).stream()
                .filter(connection -> connection.process().isPresent() && !connection.leadsTo(process))
                .forEach(connection -> {
                    remove(connection);
                    connection.close();
                });
        return takeIdle(address, connection -> connection.leadsTo(process) && !used.contains(connection))
                .or(() -> takeIdle(address, connection -> !connection.isProcessChecked()));
    }

    /** Takes a certain connection out of the idle ones; returns whether it can be used. */
    boolean take(EndpointConnection connection) {
        boolean isIdle = Optional.ofNullable(idle.get(connection.address()))
                .filter(connections -> connections.contains(connection))
                .isPresent();
        remove(connection);
        return isIdle && connection.isUsable();
    }

    /** Closes the idle connections to an address, which may have gone silent together with one in use. */
    void closeIdle(NetworkAddress address) {
        Optional.ofNullable(idle.remove(address))
                .ifPresent(connections -> connections.forEach(EndpointConnection::close));
    }

    EventLoop loop() {
        return loop;
    }

    ConnectionMemoryBudget memoryBudget() {
        return memoryBudget;
    }

    EndpointBacklog backlog() {
        return backlog;
    }

    /** Returns the bytes of requests that endpoints have not taken yet. */
    public long unwrittenBytes() {
        return backlog.totalBytes();
    }

    void reportRejected(NetworkAddress address, ResponseFault fault) {
        rejectedResponses.record(address, fault);
    }

    void release(EndpointConnection connection) {
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .addLast(connection);
    }

    void remove(EndpointConnection connection) {
        Deque<EndpointConnection> candidates = idle.get(connection.address());
        if (candidates != null) {
            candidates.remove(connection);
            if (candidates.isEmpty()) {
                idle.remove(connection.address());
            }
        }
    }
}
