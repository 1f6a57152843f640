package org.banyanstair.forwarder.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to a call, on the event loop thread. */
public interface ResponseListener {
    /** Returns whether the request is still to be sent once a connection is open. */
    default boolean awaitsResponse() {
        return true;
    }

    /** Called instead of sending a request that is no longer to be sent; its connection is closed. */
    default void onExpired() {}

    /** Called instead of sending a request that another process than the expected one would run. */
    default void onOtherProcess() {}

    /** Called with the head of a response. */
    void onHead(HttpResponse head);

    /**
     * Called with a part of the body.
     *
     * @param bytes owned by the connection; must not be released
     */
    void onContent(ByteBuf bytes);

    /**
     * Returns whether the response that is now complete belongs to an earlier request, so that the next one is
     * awaited.
     */
    boolean isForeign();

    /**
     * Returns whether the response names its request. A copy of one that does not could be taken for the response to
     * the next request, so its connection is not used again.
     */
    default boolean identifiesRequest() {
        return true;
    }

    /** Returns whether the body of the response is that of the awaited response. */
    boolean expectsBody();

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called when the call failed before its response was complete.
     *
     * @param mayHaveRun whether any bytes of the request may have been sent
     */
    void onFailure(boolean mayHaveRun);

    /** Called instead of {@link #onFailure} if the address refused the connection, as when no process listens there. */
    default void onConnectionRefused() {
        onFailure(false);
    }

    /** Called when the endpoint sent an invalid response. The request may have run. */
    void onRejected(ResponseFault fault);
}
