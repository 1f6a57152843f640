package org.banyanstair.testsupport.network;

import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;

/** A connection through the proxy: two channels and a pipe for each direction. Used only on the proxy's event loop. */
final class ProxiedConnection {
    private final Channel client;
    private final Channel target;
    private final Pipe toTarget;
    private final Pipe toClient;
    private boolean stalled;

    ProxiedConnection(Channel client, Channel target) {
        this.client = client;
        this.target = target;
        toTarget = new Pipe(client, target);
        toClient = new Pipe(target, client);
        client.pipeline().addLast(new PipeHandler(toTarget, toClient));
        target.pipeline().addLast(new PipeHandler(toClient, toTarget));
        client.closeFuture().addListener(closed -> toTarget.sourceClosed());
        target.closeFuture().addListener(closed -> toClient.sourceClosed());
    }

    /** Applies the state of the proxy; a silent connection stays silent. */
    void applyFaults(long latencyNanos, Set<Direction> blocked) {
        toTarget.setLatencyNanos(latencyNanos);
        toClient.setLatencyNanos(latencyNanos);
        toTarget.setBlocked(stalled || blocked.contains(Direction.TO_TARGET));
        toClient.setBlocked(stalled || blocked.contains(Direction.TO_CLIENT));
    }

    void stall() {
        stalled = true;
        toTarget.setBlocked(true);
        toClient.setBlocked(true);
    }

    /** Resets both channels. */
    void resetBothSides() {
        reset(client);
        reset(target);
    }

    /** Drops the data that was held back; called when both channels are closed. */
    void release() {
        toTarget.release();
        toClient.release();
    }

    static void reset(Channel channel) {
        if (channel.isOpen()) {
            // A linger time of 0 makes the operating system send RST instead of FIN.
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    boolean isClosed() {
        return !client.isOpen() && !target.isOpen();
    }

    private static final class PipeHandler extends ChannelInboundHandlerAdapter {
        private final Pipe outgoing;
        private final Pipe incoming;

        PipeHandler(Pipe outgoing, Pipe incoming) {
            this.outgoing = outgoing;
            this.incoming = incoming;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            outgoing.enqueueData((ByteBuf) message);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            incoming.drain();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
