package org.banyanstair.forwarder;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import org.banyanstair.model.NetworkAddress;

/** How callers ask which hosts to use, and how the platform asks whether a host is ready. */
public interface DirectoryProtocol {
    /**
     * Answers a question for addresses.
     *
     * @param request the question
     * @param addresses the addresses to give
     * @return the answer; empty if the request is no such question
     */
    Optional<FullHttpResponse> resolveResponse(HttpRequest request, List<NetworkAddress> addresses);

    /**
     * Answers a question for readiness.
     *
     * @param request the question
     * @param ready whether the host is ready
     * @return the answer; empty if the request is no such question
     */
    Optional<FullHttpResponse> readinessResponse(HttpRequest request, boolean ready);
}
