package org.banyanstair.forwarder;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import org.banyanstair.forwarding.FailureReason;
import org.banyanstair.forwarding.RefusalReason;

/** HTTP protocol of callers: parses their requests and builds the responses. Implementations are stateless. */
public interface CallerProtocol {
    /**
     * Parses a request.
     *
     * @param exchange number of the exchange on this host
     * @param caller IP address of the caller
     * @param request the request with its complete body
     * @param arrivedAt when it arrived; the deadline that its caller states counts from then
     */
    ParsedRequest parseRequest(long exchange, String caller, FullHttpRequest request, Instant arrivedAt);

    /** Returns the id of a request as its caller sent it, empty if it has none. */
    String findRequestId(HttpHeaders headers);

    /**
     * Builds the response to a refused request, which has not run.
     *
     * @param retryAfter when the caller may retry; empty if a retry is pointless
     */
    FullHttpResponse refusalResponse(RefusalReason reason, Optional<Duration> retryAfter);

    /** Builds the response to a request that may have run but has no usable response. */
    FullHttpResponse failureResponse(FailureReason reason);

    /**
     * Builds the response to a request that cannot be parsed.
     *
     * @param message describes the error; sent as the body
     */
    FullHttpResponse errorResponse(int status, String message);

    /** Copies the headers of an endpoint's response that are passed on to the caller. */
    void copyResponseHeaders(HttpHeaders from, HttpHeaders to);
}
