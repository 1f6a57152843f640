package org.banyanstair.transport.internal;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.EventLoop;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.PeerMessage;
import org.tinylog.Logger;

/**
 * State of one peer: its connections and its queue of outbound messages.
 *
 * <p>Everything except {@link #send} and {@link #runOnEventLoop} is confined to one event loop, so that the listener is notified
 * of the events of one peer in order and from one thread.
 */
public final class PeerLink {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    /**
     * A connection that closes within this time of its last message was lost; later, the peer probably closed it as
     * idle.
     */
    private static final Duration RECENT_USE = IDLE_TIMEOUT.dividedBy(2);

    private final TransportContext transport;
    private final HostId host;
    private final EventLoop eventLoop;
    private final OutboundQueue outboundQueue = new OutboundQueue();
    private final AtomicBoolean flushScheduled = new AtomicBoolean();
    private final AtomicBoolean overflowScheduled = new AtomicBoolean();
    private final Deque<Connection> established = new ArrayDeque<>();
    private Optional<Connection> connecting = Optional.empty();
    private volatile boolean watched;
    private boolean stopped;
    private long incarnation = Long.MIN_VALUE;
    private Reachability reachability = Reachability.UNKNOWN;
    private int consecutiveShortLived;

    private enum Reachability {
        UNKNOWN,
        REACHABLE,
        UNREACHABLE
    }

    /**
     * Creates the state of a peer.
     *
     * @param transport shared state of the transport
     * @param eventLoop event loop that serves the peer
     */
    public PeerLink(TransportContext transport, HostId host, EventLoop eventLoop) {
        this.transport = transport;
        this.host = host;
        this.eventLoop = eventLoop;
    }

    /**
     * Queues an encoded message. Thread-safe, does not block.
     *
     * @param frame the frame body
     */
    public void send(byte[] frame) {
        if (frame.length > transport.settings().maximumFrameBytes() || !outboundQueue.offer(frame)) {
            transport.counters().countDroppedMessages(1);
            if (overflowScheduled.compareAndSet(false, true)) {
                runOnEventLoop(this::handleOverflow);
            }
        } else if (flushScheduled.compareAndSet(false, true)) {
            execute(() -> {
                flushScheduled.set(false);
                flushQueue();
            });
        }
    }

    /** Sets whether a connection to the peer is kept open. */
    public void setWatched(boolean watch) {
        runOnEventLoop(() -> {
            watched = watch;
            reconnectIfWatched();
        });
    }

    /** Connects to a watched peer that has no connection. Called every heartbeat interval. */
    public void reconnectIfWatched() {
        if (watched) {
            runOnEventLoop(this::connectIfNeeded);
        }
    }

    /** Closes all connections without notifying the listener. */
    public void stop() {
        runOnEventLoop(() -> {
            stopped = true;
            closeAll();
            transport.counters().countDroppedMessages(outboundQueue.clear());
        });
    }

    HostId host() {
        return host;
    }

    void runOnEventLoop(Runnable task) {
        if (eventLoop.inEventLoop()) {
            task.run();
        } else {
            execute(task);
        }
    }

    private void execute(Runnable task) {
        try {
            eventLoop.execute(task);
        } catch (RejectedExecutionException exception) {
            Logger.debug("transport stopped; dropped an event of {}", host);
        }
    }

    void flushQueue() {
        if (established.isEmpty()) {
            if (!outboundQueue.isEmpty()) {
                connectIfNeeded();
            }
        } else {
            // The newest connection is the least likely to be stalled.
            established.peekLast().writeFrom(outboundQueue);
        }
    }

    private void connectIfNeeded() {
        if (stopped || !established.isEmpty() || connecting.isPresent()) {
            return;
        }
        Optional<NetworkAddress> address = findAddress();
        if (address.isEmpty()) {
            reportUnreachable();
            return;
        }
        Connection connection = new Connection(transport, Optional.of(this));
        connecting = Optional.of(connection);
        transport.connector().connect(eventLoop, address.get(), connection).addListener(future -> {
            if (!future.isSuccess()) {
                connectionClosed(connection);
            }
        });
    }

    private Optional<NetworkAddress> findAddress() {
        try {
            return transport.addressLookup().apply(host);
        } catch (RuntimeException exception) {
            Logger.error(exception, "address lookup of {} failed", host);
            return Optional.empty();
        }
    }

    void handshakeCompleted(Connection connection) {
        long peerIncarnation = connection.peer().incarnation();
        if (stopped || peerIncarnation < incarnation) {
            transport.counters().countRejectedHandshake();
            connection.close();
            return;
        }
        boolean newer = peerIncarnation > incarnation;
        if (newer) {
            established.forEach(Connection::close);
            established.clear();
            incarnation = peerIncarnation;
        }
        connecting = connecting.filter(pending -> pending != connection);
        established.addLast(connection);
        if (newer || reachability != Reachability.REACHABLE) {
            reachability = Reachability.REACHABLE;
            notifyListener(() -> transport.listener().connected(connection.peer()));
        }
        flushQueue();
    }

    void messagesReceived(Connection connection, List<PeerMessage> messages) {
        if (connection.peer().incarnation() < incarnation) {
            transport.counters().countDroppedMessages(messages.size());
            return;
        }
        connection.markUsed();
        messages.forEach(message -> notifyListener(() -> transport.listener().received(connection.peer(), message)));
    }

    void connectionClosed(Connection connection) {
        boolean wasConnecting =
                connecting.filter(pending -> pending == connection).isPresent();
        if (wasConnecting) {
            connecting = Optional.empty();
        }
        boolean wasEstablished = established.remove(connection);
        if (stopped || !established.isEmpty()) {
            flushQueue();
        } else if (wasConnecting) {
            reportUnreachable();
        } else if (wasEstablished) {
            reconnect(connection);
        }
    }

    private void reconnect(Connection lost) {
        consecutiveShortLived = lost.isShortLived() ? consecutiveShortLived + 1 : 0;
        if (consecutiveShortLived > 1) {
            // The peer accepts connections but closes them at once; immediate reconnects would never end.
            reportUnreachable();
        } else if (lost.hasTimedOut() || watched || !outboundQueue.isEmpty() || lost.isUsedWithin(RECENT_USE)) {
            connectIfNeeded();
        }
    }

    private void handleOverflow() {
        Logger.warn("connections to {} closed: outbound queue is full or a message exceeds the frame limit", host);
        closeAll();
        reachability = Reachability.UNKNOWN;
        reportUnreachable();
        overflowScheduled.set(false);
    }

    private void closeAll() {
        connecting.ifPresent(Connection::close);
        connecting = Optional.empty();
        established.forEach(Connection::close);
        established.clear();
    }

    private void reportUnreachable() {
        int dropped = outboundQueue.clear();
        transport.counters().countDroppedMessages(dropped);
        boolean news = dropped > 0 || reachability != Reachability.UNREACHABLE;
        reachability = Reachability.UNREACHABLE;
        if (news) {
            notifyListener(() -> transport.listener().unreachable(host));
        }
    }

    private void notifyListener(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException exception) {
            Logger.error(exception, "listener threw an exception on an event of {}", host);
        }
    }

    /** Returns whether a connection is neither watched nor recently used. */
    boolean isIdle(Connection connection) {
        return !watched && outboundQueue.isEmpty() && !connection.isUsedWithin(IDLE_TIMEOUT);
    }
}
