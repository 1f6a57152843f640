package org.banyanstair.forwarder;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import org.banyanstair.forwarding.FailureReason;
import org.banyanstair.forwarding.RefusalReason;

/** How callers speak. Implementations have no state. */
public interface CallerProtocol {
    /**
     * Reads a request.
     *
     * @param exchange number of the request on this host
     * @param caller address of the caller
     * @param request the request with its body
     * @param now present instant
     * @return what it says
     */
    ParsedRequest parseRequest(long exchange, String caller, FullHttpRequest request, Instant now);

    /**
     * Creates the answer to a refused request.
     *
     * @param reason why it is refused
     * @param retryAfter when the caller may return; empty if that is of no use
     * @return the answer
     */
    FullHttpResponse refusalResponse(RefusalReason reason, Optional<Duration> retryAfter);

    /**
     * Creates the answer to a request that may have run.
     *
     * @param reason why it has no answer
     * @return the answer
     */
    FullHttpResponse failureResponse(FailureReason reason);

    /**
     * Creates the answer to a request that cannot be understood.
     *
     * @param status HTTP status
     * @param message what is wrong
     * @return the answer
     */
    FullHttpResponse errorResponse(int status, String message);

    /**
     * Copies the headers of an endpoint's answer that concern the caller.
     *
     * @param from headers of the endpoint
     * @param to headers for the caller
     */
    void copyResponseHeaders(HttpHeaders from, HttpHeaders to);
}
