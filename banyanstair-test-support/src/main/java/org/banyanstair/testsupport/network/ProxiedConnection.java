package org.banyanstair.testsupport.network;

import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;

/**
 * A connection through the proxy, with a channel on each side and a pipe for each direction. Not thread-safe; used only
 * on the proxy's event loop.
 */
final class ProxiedConnection {
    private final Channel client;
    private final Channel target;
    private final Pipe toTarget;
    private final Pipe toClient;
    private boolean stalled;

    ProxiedConnection(Channel client, Channel target) {
        this.client = client;
        this.target = target;
        toTarget = new Pipe(client, target, System::nanoTime);
        toClient = new Pipe(target, client, System::nanoTime);
        client.pipeline().addLast(new PipeHandler(toTarget, toClient));
        target.pipeline().addLast(new PipeHandler(toClient, toTarget));
        client.closeFuture().addListener(closed -> toTarget.sourceClosed());
        target.closeFuture().addListener(closed -> toClient.sourceClosed());
    }

    /** Applies the latency and the blocked directions; a stalled connection stays stalled. */
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

    /** Releases the pending data; called when both channels are closed. */
    void release() {
        toTarget.release();
        toClient.release();
    }

    static void reset(Channel channel) {
        if (channel.isOpen()) {
            // With a linger time of 0 the operating system sends RST instead of FIN.
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
