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
 * State of one peer: its connections and the messages that wait for one.
 *
 * <p>Everything but {@link #send} and {@link #run} happens on one event loop, so the listener hears the events of one
 * peer in order and from one thread.
 */
public final class PeerLink {
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(60);

    /** An end within this time of the last message is a fault; later, the peer probably closed an idle connection. */
    private static final Duration RECENT_USE = IDLE_LIMIT.dividedBy(2);

    private final TransportContext transport;
    private final HostId host;
    private final EventLoop loop;
    private final OutboundQueue queue = new OutboundQueue();
    private final AtomicBoolean drainScheduled = new AtomicBoolean();
    private final AtomicBoolean overflowScheduled = new AtomicBoolean();
    private final Deque<Connection> ready = new ArrayDeque<>();
    private Optional<Connection> dialling = Optional.empty();
    private volatile boolean watched;
    private boolean stopped;
    private long incarnation = Long.MIN_VALUE;
    private Reachability reachability = Reachability.UNKNOWN;
    private int shortLivedInARow;

    private enum Reachability {
        UNKNOWN,
        REACHABLE,
        UNREACHABLE
    }

    /**
     * Creates the state of a peer.
     *
     * @param transport what all connections share
     * @param host the peer
     * @param loop event loop that serves the peer
     */
    public PeerLink(TransportContext transport, HostId host, EventLoop loop) {
        this.transport = transport;
        this.host = host;
        this.loop = loop;
    }

    /**
     * Queues an encoded message. Safe for use by several threads, never blocks.
     *
     * @param frame the frame body
     */
    public void send(byte[] frame) {
        if (frame.length > transport.settings().maximumFrameBytes() || !queue.offer(frame)) {
            transport.counters().dropped(1);
            if (overflowScheduled.compareAndSet(false, true)) {
                run(this::overflow);
            }
        } else if (drainScheduled.compareAndSet(false, true)) {
            execute(() -> {
                drainScheduled.set(false);
                drain();
            });
        }
    }

    /**
     * Keeps a connection open, or no longer.
     *
     * @param watch whether to keep it
     */
    public void setWatched(boolean watch) {
        run(() -> {
            watched = watch;
            maintain();
        });
    }

    /** Connects to a watched peer that has no connection; called every heartbeat interval. */
    public void maintain() {
        if (watched) {
            run(this::dialIfNeeded);
        }
    }

    /** Ends all connections without notice to the listener. */
    public void stop() {
        run(() -> {
            stopped = true;
            closeAll();
            transport.counters().dropped(queue.clear());
        });
    }

    HostId host() {
        return host;
    }

    void run(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            execute(task);
        }
    }

    private void execute(Runnable task) {
        try {
            loop.execute(task);
        } catch (RejectedExecutionException exception) {
            Logger.debug("transport stopped; event of {} ignored", host);
        }
    }

    void drain() {
        if (ready.isEmpty()) {
            if (!queue.isEmpty()) {
                dialIfNeeded();
            }
        } else {
            // The newest connection is the least likely to have gone silent.
            ready.peekLast().writeFrom(queue);
        }
    }

    private void dialIfNeeded() {
        if (stopped || !ready.isEmpty() || dialling.isPresent()) {
            return;
        }
        Optional<NetworkAddress> address = findAddress();
        if (address.isEmpty()) {
            fail();
            return;
        }
        Connection connection = new Connection(transport, Optional.of(this));
        dialling = Optional.of(connection);
        transport.dialer().dial(loop, address.get(), connection).addListener(future -> {
            if (!future.isSuccess()) {
                ended(connection);
            }
        });
    }

    private Optional<NetworkAddress> findAddress() {
        try {
            return transport.addresses().apply(host);
        } catch (RuntimeException exception) {
            Logger.error(exception, "cannot find the address of {}", host);
            return Optional.empty();
        }
    }

    void ready(Connection connection) {
        long seen = connection.peer().incarnation();
        if (stopped || seen < incarnation) {
            transport.counters().rejected();
            connection.close();
            return;
        }
        boolean newer = seen > incarnation;
        if (newer) {
            ready.forEach(Connection::close);
            ready.clear();
            incarnation = seen;
        }
        dialling = dialling.filter(dialled -> dialled != connection);
        ready.addLast(connection);
        if (newer || reachability != Reachability.REACHABLE) {
            reachability = Reachability.REACHABLE;
            notifyListener(() -> transport.listener().connected(connection.peer()));
        }
        drain();
    }

    void received(Connection connection, List<PeerMessage> messages) {
        if (connection.peer().incarnation() < incarnation) {
            transport.counters().dropped(messages.size());
            return;
        }
        connection.markUsed();
        messages.forEach(message -> notifyListener(() -> transport.listener().received(connection.peer(), message)));
    }

    void ended(Connection connection) {
        boolean wasDialling = dialling.filter(dialled -> dialled == connection).isPresent();
        if (wasDialling) {
            dialling = Optional.empty();
        }
        boolean wasReady = ready.remove(connection);
        if (stopped || !ready.isEmpty()) {
            drain();
        } else if (wasDialling) {
            fail();
        } else if (wasReady) {
            reconnect(connection);
        }
    }

    private void reconnect(Connection lost) {
        shortLivedInARow = lost.isShortLived() ? shortLivedInARow + 1 : 0;
        if (shortLivedInARow > 1) {
            // The peer accepts connections but closes them at once; connecting again immediately would not end.
            fail();
        } else if (lost.isSilent() || watched || !queue.isEmpty() || lost.isUsedWithin(RECENT_USE)) {
            dialIfNeeded();
        }
    }

    private void overflow() {
        overflowScheduled.set(false);
        Logger.warn("connection to {} dropped: its queue is full or a message is too long", host);
        closeAll();
        reachability = Reachability.UNKNOWN;
        fail();
    }

    private void closeAll() {
        dialling.ifPresent(Connection::close);
        dialling = Optional.empty();
        ready.forEach(Connection::close);
        ready.clear();
    }

    private void fail() {
        int dropped = queue.clear();
        transport.counters().dropped(dropped);
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
            Logger.error(exception, "listener failed on an event of {}", host);
        }
    }

    /** Returns whether a connection is neither watched nor used. */
    boolean isIdle(Connection connection) {
        return !watched && queue.isEmpty() && !connection.isUsedWithin(IDLE_LIMIT);
    }
}
