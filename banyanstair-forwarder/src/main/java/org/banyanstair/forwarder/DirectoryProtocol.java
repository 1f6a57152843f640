package org.banyanstair.forwarder;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import org.banyanstair.model.NetworkAddress;

/** HTTP protocol of the directory, by which callers discover hosts, and of the platform's readiness probe. */
public interface DirectoryProtocol {
    /**
     * Builds the response to a discovery request.
     *
     * @param addresses caller addresses of the hosts to return
     * @return the response; empty if the request is no discovery request
     */
    Optional<FullHttpResponse> resolveResponse(HttpRequest request, List<NetworkAddress> addresses);

    /**
     * Builds the response to a readiness probe.
     *
     * @return the response; empty if the request is no readiness probe
     */
    Optional<FullHttpResponse> readinessResponse(HttpRequest request, boolean ready);
}
