package org.banyanstair.forwarder.internal;

import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;

/** An HTTP call in flight. Used on the event loop thread of its connection only. */
public final class EndpointCall {
    private final ResponseListener listener;
    private boolean connectionReused;
    private final boolean repeated;
    private boolean processChecked;
    private Optional<EndpointCall> check = Optional.empty();
    private Optional<Channel> channel = Optional.empty();
    private boolean autoRead = true;
    private boolean finished;

    /**
     * Creates a call.
     *
     * @param connectionReused whether the connection has carried an earlier call
     * @param repeated whether the connection has carried an earlier attempt of the same request
     */
    EndpointCall(ResponseListener listener, boolean connectionReused, boolean repeated) {
        this.listener = listener;
        this.connectionReused = connectionReused;
        this.repeated = repeated;
    }

    /** Creates a call whose connection is not chosen yet. */
    EndpointCall(ResponseListener listener) {
        this(listener, false, false);
    }

    /** Records that the call is sent on a connection that has carried the question for its process. */
    void useCheckedConnection() {
        check = Optional.empty();
        connectionReused = true;
    }

    /** Records the call that must succeed before this one is sent. */
    void await(EndpointCall preceding) {
        check = Optional.of(preceding);
    }

    /** Returns whether the connection has carried a question for its process, of which a late copy may arrive. */
    boolean isProcessChecked() {
        return processChecked;
    }

    void setProcessChecked(boolean checked) {
        processChecked = checked;
    }

    boolean isConnectionReused() {
        return connectionReused;
    }

    boolean isRepeated() {
        return repeated;
    }

    ResponseListener listener() {
        return listener;
    }

    void attach(Channel used) {
        channel = Optional.of(used);
    }

    boolean isFinished() {
        return finished;
    }

    /** Ends the call without a connection. */
    void connectFailed(boolean refused) {
        if (!finished) {
            finished = true;
            if (refused) {
                listener.onConnectionRefused();
            } else {
                listener.onFailure(false);
            }
        }
    }

    /** Ends the call without sending its request. */
    void expire() {
        finished = true;
        listener.onExpired();
    }

    /** Ends the call without sending its request, because another process would run it. */
    void refuseProcess() {
        finished = true;
        listener.onOtherProcess();
    }

    void connectionLost() {
        if (!finished) {
            finished = true;
            listener.onFailure(true);
        }
    }

    void reject(ResponseFault fault) {
        if (!finished) {
            finished = true;
            listener.onRejected(fault);
        }
    }

    boolean isAutoRead() {
        return autoRead;
    }

    void markFinished() {
        finished = true;
    }

    /** Sends a further request on the connection, whose response the listener receives as well. */
    void pipeline(FullHttpRequest request) {
        channel.orElseThrow().writeAndFlush(request);
    }

    /** Closes the connection, which tells the endpoint to stop. The listener is not called any more. */
    public void cancel() {
        if (!finished) {
            finished = true;
            check.ifPresent(EndpointCall::cancel);
            channel.ifPresent(Channel::close);
        }
    }

    /** Pauses or resumes reading the response, for backpressure of a slow caller. */
    public void setAutoRead(boolean autoRead) {
        this.autoRead = autoRead;
        channel.filter(used -> !finished).ifPresent(used -> used.config().setAutoRead(autoRead));
    }
}
