package org.banyanstair.forwarder.internal;

import java.util.Optional;

import io.netty.channel.Channel;

/** A call that is under way. Used on the thread of its connection only. */
public final class EndpointCall {
    private final ResponseListener listener;
    private Optional<Channel> channel = Optional.empty();
    private boolean reading = true;
    private boolean over;

    EndpointCall(ResponseListener listener) {
        this.listener = listener;
    }

    ResponseListener listener() {
        return listener;
    }

    void connecting(Channel used) {
        channel = Optional.of(used);
    }

    boolean isOver() {
        return over;
    }

    void notConnected() {
        if (!over) {
            over = true;
            listener.failed(false);
        }
    }

    void broken() {
        if (!over) {
            over = true;
            listener.failed(true);
        }
    }

    void rejected(ResponseFault fault) {
        if (!over) {
            over = true;
            listener.rejected(fault);
        }
    }

    boolean isReading() {
        return reading;
    }

    void finished() {
        over = true;
    }

    /** Closes the connection, which tells the endpoint to stop; the listener hears nothing more. */
    public void cancel() {
        if (!over) {
            over = true;
            channel.ifPresent(Channel::close);
        }
    }

    /**
     * Stops or goes on reading the answer, for a caller that reads slowly.
     *
     * @param reading whether to read
     */
    public void setReading(boolean reading) {
        this.reading = reading;
        channel.filter(used -> !over).ifPresent(used -> used.config().setAutoRead(reading));
    }
}
