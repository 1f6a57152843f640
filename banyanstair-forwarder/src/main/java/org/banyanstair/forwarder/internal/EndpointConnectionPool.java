package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import org.banyanstair.model.NetworkAddress;

/**
 * Calls over HTTP/1.1 with kept connections, one call at a time on each.
 *
 * <p>Used on the thread of its event loop only.
 */
public final class EndpointConnectionPool {
    private static final int LINE_BYTES = 8 << 10;

    private static final int HEADER_BYTES = 32 << 10;

    private static final int CHUNK_BYTES = 64 << 10;

    private final EventLoop loop;
    private final ResponseMemoryBudget memory;
    private final RejectedResponses rejected;
    private final Duration connectLimit;
    private final Map<NetworkAddress, Deque<EndpointConnection>> idle = new HashMap<>();
    private long opened;

    /**
     * Creates a client.
     *
     * @param loop thread of all connections
     * @param connectLimit longest time to open a connection
     * @param memory memory of answers that are not whole
     * @param rejected told of bytes that are no answer
     */
    public EndpointConnectionPool(
            EventLoop loop, Duration connectLimit, ResponseMemoryBudget memory, RejectedResponses rejected) {
        this.loop = loop;
        this.memory = memory;
        this.rejected = rejected;
        this.connectLimit = connectLimit;
    }

    /**
     * Returns the connections that were opened.
     *
     * @return total since the start
     */
    public long opened() {
        return opened;
    }

    /**
     * Sends a request.
     *
     * @param address where to
     * @param request the request; released when it was written
     * @param listener hears the answer
     * @return the call
     */
    public EndpointCall call(NetworkAddress address, FullHttpRequest request, ResponseListener listener) {
        EndpointCall call = new EndpointCall(listener);
        EndpointConnection kept = takeIdle(address);
        if (kept != null) {
            kept.begin(call, request);
            return call;
        }
        opened++;
        EndpointConnection connection = new EndpointConnection(this, address);
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectLimit.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(connection.received())
                                .addLast(new HttpClientCodec(LINE_BYTES, HEADER_BYTES, CHUNK_BYTES))
                                .addLast(connection);
                    }
                })
                .connect(address.ip(), address.port());
        call.connecting(connecting.channel());
        connecting.addListener(future -> {
            if (!future.isSuccess()) {
                request.release();
                call.notConnected();
            } else if (call.isOver()) {
                request.release();
                connecting.channel().close();
            } else {
                connection.begin(call, request);
            }
        });
        return call;
    }

    private EndpointConnection takeIdle(NetworkAddress address) {
        Deque<EndpointConnection> kept = idle.get(address);
        while (kept != null && !kept.isEmpty()) {
            EndpointConnection connection = kept.pollLast();
            if (connection.isUsable()) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    ResponseMemoryBudget memory() {
        return memory;
    }

    void reject(NetworkAddress address, ResponseFault fault) {
        rejected.add(address, fault);
    }

    void keep(EndpointConnection connection) {
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .addLast(connection);
    }

    void forget(EndpointConnection connection) {
        Deque<EndpointConnection> kept = idle.get(connection.address());
        if (kept != null) {
            kept.remove(connection);
            if (kept.isEmpty()) {
                idle.remove(connection.address());
            }
        }
    }
}
