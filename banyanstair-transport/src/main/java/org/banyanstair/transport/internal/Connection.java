package org.banyanstair.transport.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.IdleStateEvent;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureText;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.transport.NettyPeerTransport;
import org.tinylog.Logger;

/** TCP connection to a peer: handshake, heartbeats and decoding. Confined to the event loop of its channel. */
public final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
    /** Queued frames are merged into writes of about this size, to save system calls. */
    private static final int WRITE_BATCH_BYTES = 64 << 10;

    private final TransportContext transport;
    private final Optional<PeerLink> outboundPeer;
    private volatile ChannelHandlerContext channel;
    private volatile HostIdentity peer;
    private volatile Instant lastUsed;
    private volatile boolean closing;
    private volatile boolean timedOut;
    private PeerLink link;
    private List<PeerMessage> receivedMessages = new ArrayList<>();
    private Future<?> handshakeTimer;
    private Future<?> heartbeatTimer;
    private long pingSequence;
    private long handshakeCompletedNanos;
    private long lastWriteNanos = System.nanoTime();

    /**
     * Creates the channel handler of a connection.
     *
     * @param transport shared state of the transport
     * @param outboundPeer peer that this host connects to, empty for an accepted connection
     */
    public Connection(TransportContext transport, Optional<PeerLink> outboundPeer) {
        this.transport = transport;
        this.outboundPeer = outboundPeer;
        this.lastUsed = transport.clock().instant();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        transport.counters().countOpenedConnection();
        write(new PeerMessage.Hello(
                NettyPeerTransport.PROTOCOL_VERSION,
                transport.settings().identity(),
                transport.settings().cluster()));
        long timeout = transport.settings().connectTimeout().toMillis();
        long interval = transport.settings().heartbeatInterval().toMillis();
        handshakeTimer = context.executor()
                .schedule(() -> rejectHandshake("no hello within the connect timeout"), timeout, TimeUnit.MILLISECONDS);
        heartbeatTimer =
                context.executor().scheduleWithFixedDelay(this::heartbeat, interval, interval, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        if (closing) {
            return;
        }
        byte[] body = new byte[frame.readableBytes()];
        frame.readBytes(body);
        transport.counters().countReceivedFrame(body.length + FrameCodec.LENGTH_BYTES);
        FrameCodec.decode(body).ifPresentOrElse(this::handleMessage, () -> closeMalformed(body.length));
    }

    private void handleMessage(PeerMessage message) {
        if (message instanceof PeerMessage.Hello hello) {
            handleHello(hello);
        } else if (peer == null) {
            rejectHandshake("message before hello");
        } else if (message instanceof PeerMessage.Ping ping) {
            // No pong while the write buffer is full, so that a peer that does not read cannot make it grow without
            // bound.
            if (isWritable()) {
                write(new PeerMessage.Pong(ping.sequence()));
            }
        } else if (!(message instanceof PeerMessage.Pong)) {
            receivedMessages.add(message);
        }
    }

    private void handleHello(PeerMessage.Hello hello) {
        HostIdentity sender = hello.sender();
        if (sender == null || sender.host() == null || peer != null) {
            rejectHandshake("incomplete or repeated hello");
        } else if (hello.protocolVersion() != NettyPeerTransport.PROTOCOL_VERSION) {
            rejectHandshake("unsupported protocol version " + hello.protocolVersion());
        } else if (!transport.settings().cluster().equals(hello.cluster())) {
            rejectHandshake("peer belongs to another cluster");
        } else if (sender.host().equals(transport.settings().identity().host())
                || outboundPeer
                        .filter(expected -> !expected.host().equals(sender.host()))
                        .isPresent()) {
            rejectHandshake("unexpected host " + sender);
        } else {
            handshakeTimer.cancel(false);
            handshakeCompletedNanos = System.nanoTime();
            peer = sender;
            link = outboundPeer.orElseGet(() ->
                    transport.peerLinks().apply(sender.host(), channel.channel().eventLoop()));
            link.runOnEventLoop(() -> link.handshakeCompleted(this));
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!receivedMessages.isEmpty()) {
            List<PeerMessage> messages = receivedMessages;
            receivedMessages = new ArrayList<>();
            link.runOnEventLoop(() -> link.messagesReceived(this, messages));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (link != null && isWritable()) {
            link.runOnEventLoop(link::flushQueue);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && !closing) {
            Logger.warn(
                    "connection to {} closed: no frame received for {}",
                    peerName(),
                    transport.settings().heartbeatTimeout());
            timedOut = true;
            close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException && !closing) {
            Logger.warn("connection to {} closed: {}", peerName(), cause.getMessage());
            transport.counters().countMalformedFrame();
        } else {
            Logger.debug("connection to {} failed: {}", peerName(), cause.getMessage());
        }
        close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        transport.counters().countClosedConnection();
        handshakeTimer.cancel(false);
        heartbeatTimer.cancel(false);
        Optional<PeerLink> affectedLink = Optional.ofNullable(link).or(() -> outboundPeer);
        affectedLink.ifPresent(peerLink -> peerLink.runOnEventLoop(() -> peerLink.connectionClosed(this)));
    }

    private void heartbeat() {
        if (link == null || closing) {
            return;
        }
        // Only the host that opened an idle connection closes it, because the other one may be watching the peer.
        if (outboundPeer.isPresent() && link.isIdle(this)) {
            close();
        } else if (isWritable() && !hasWrittenRecently()) {
            write(new PeerMessage.Ping(++pingSequence));
        }
    }

    /**
     * Returns whether a frame was written within half a heartbeat interval, so that a ping can wait for the next one.
     */
    private boolean hasWrittenRecently() {
        return System.nanoTime() - lastWriteNanos
                < transport.settings().heartbeatInterval().toNanos() / 2;
    }

    private void closeMalformed(int lengthBytes) {
        Logger.warn("connection to {} closed: {}", peerName(), FailureText.of(new Failure.MalformedFrame(lengthBytes)));
        transport.counters().countMalformedFrame();
        close();
    }

    private void rejectHandshake(String reason) {
        Logger.warn("connection to {} closed: {}", peerName(), reason);
        transport.counters().countRejectedHandshake();
        close();
    }

    private Object peerName() {
        return peer != null ? peer : channel.channel().remoteAddress();
    }

    private void write(PeerMessage message) {
        byte[] body = FrameCodec.encode(message);
        ByteBuf buffer = channel.alloc().ioBuffer(FrameCodec.LENGTH_BYTES + body.length);
        write(buffer.writeInt(body.length).writeBytes(body), 1);
    }

    private void write(ByteBuf frames, int count) {
        transport.counters().countWrittenFrames(count, frames.readableBytes());
        lastWriteNanos = System.nanoTime();
        channel.writeAndFlush(frames, channel.voidPromise());
    }

    /** Writes queued frames until the queue is empty or the write buffer is full. Called on the peer's event loop. */
    void writeFrom(OutboundQueue queue) {
        while (!queue.isEmpty() && isWritable()) {
            ByteBuf batch = channel.alloc().ioBuffer();
            int count = 0;
            byte[] frame = queue.poll();
            while (frame != null) {
                batch.writeInt(frame.length).writeBytes(frame);
                count++;
                frame = batch.readableBytes() < WRITE_BATCH_BYTES ? queue.poll() : null;
            }
            write(batch, count);
            markUsed();
        }
    }

    private boolean isWritable() {
        return channel.channel().isWritable();
    }

    void markUsed() {
        lastUsed = transport.clock().instant();
    }

    /** Returns whether a message was sent or received within the given time. */
    boolean isUsedWithin(Duration time) {
        return lastUsed.plus(time).isAfter(transport.clock().instant());
    }

    /** Returns whether less than one heartbeat interval has passed since the handshake. */
    boolean isShortLived() {
        return System.nanoTime() - handshakeCompletedNanos
                < transport.settings().heartbeatInterval().toNanos();
    }

    boolean hasTimedOut() {
        return timedOut;
    }

    HostIdentity peer() {
        return peer;
    }

    /** Closes the connection; frames received afterwards are ignored. May be called from any thread. */
    void close() {
        closing = true;
        if (channel != null) {
            channel.close();
        }
    }
}
