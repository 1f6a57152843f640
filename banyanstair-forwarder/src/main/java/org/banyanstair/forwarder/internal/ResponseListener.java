package org.banyanstair.forwarder.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Hears the answers to a call, on the thread of the connections. */
public interface ResponseListener {
    /**
     * The head of an answer came.
     *
     * @param head the head
     */
    void onHead(HttpResponse head);

    /**
     * A part of the body came.
     *
     * @param bytes the bytes; not to be released
     */
    void onContent(ByteBuf bytes);

    /**
     * Tells whether the answer that is now complete belongs to an earlier request, so that the next one is awaited.
     *
     * @return whether it is not the answer to this call
     */
    boolean isForeign();

    /**
     * Tells whether the body of the answer is of use.
     *
     * @return whether its bytes are the awaited body
     */
    boolean expectsBody();

    /** The answer is complete and the call is over. */
    void onComplete();

    /**
     * The call failed before its answer was complete.
     *
     * @param mayHaveRun whether anything may have been sent
     */
    void onFailure(boolean mayHaveRun);

    /**
     * The endpoint sent what is no answer, and the call is over; it may have run.
     *
     * @param fault what is wrong
     */
    void onRejected(ResponseFault fault);
}
