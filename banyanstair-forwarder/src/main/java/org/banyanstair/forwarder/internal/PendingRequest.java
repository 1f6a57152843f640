package org.banyanstair.forwarder.internal;

import java.time.Instant;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** A request on a connection whose turn has not come. */
sealed interface PendingRequest {
    /**
     * A request that was read as a whole; its owner releases it.
     *
     * @param arrivedAt earliest instant at which its end may have arrived
     */
    record Complete(FullHttpRequest request, Instant arrivedAt) implements PendingRequest {}

    /** A request that cannot be read; the connection is closed after the response. */
    record Rejected(HttpResponseStatus status, String message) implements PendingRequest {}

    /** A request with these headers for whose body the host has no memory; the connection is closed after the response. */
    record Refused(HttpHeaders headers) implements PendingRequest {}
}
