package org.banyanstair.forwarder;

import java.time.Instant;
import java.util.Optional;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import org.banyanstair.forwarding.AdapterCommand;
import org.banyanstair.forwarding.CommandResult;
import org.banyanstair.forwarding.EndpointNotice;
import org.banyanstair.forwarding.ForwardingEffect;
import org.banyanstair.forwarding.RunnerState;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.NetworkAddress;

/** HTTP protocol of endpoints. Implementations are stateless. */
public interface EndpointProtocol {
    /**
     * Builds the request to send to an endpoint for a caller's request.
     *
     * @param original the caller's request; keeps its own reference to the body
     * @return a request with an additional reference to the body
     */
    FullHttpRequest createRequest(FullHttpRequest original, ForwardingEffect.Send send, Instant now);

    /**
     * Classifies a response by its head.
     *
     * @param requestId id of the request that was sent
     */
    ResponseKind classify(HttpResponse response, String requestId);

    /** Returns whether a response names the request to which it belongs. */
    boolean identifiesRequest(HttpResponse response);

    /**
     * Builds a request that an endpoint answers at once and in the order of arrival, so that its response shows that no
     * response to an earlier request on the connection is due.
     */
    FullHttpRequest orderingProbe(NetworkAddress address);

    /** Returns whether a response is that to an ordering probe. */
    boolean isProbeResponse(HttpResponse response);

    /** Builds a request that asks an endpoint which of its processes has the connection. */
    FullHttpRequest identityRequest(EndpointId endpoint, NetworkAddress address);

    /**
     * Reads which process answered an identity request.
     *
     * @param started start of the expected process, in milliseconds since 1970
     */
    ProcessIdentity identifyProcess(FullHttpResponse response, long started);

    /**
     * Reads what an endpoint says about itself in a response; empty if it says nothing, or another endpoint responded.
     *
     * @param endpoint the endpoint to which the request was sent
     */
    Optional<EndpointNotice> parseNotice(HttpResponse response, EndpointId endpoint, Instant now);

    /** Builds the request for a load or unload command to a runner. */
    FullHttpRequest commandRequest(AdapterCommand command);

    /** Parses the response to an adapter command. */
    CommandResult parseCommandResult(FullHttpResponse response);

    /** Builds the request for the state of a runner. */
    FullHttpRequest inspectionRequest(ForwardingEffect.Inspect inspect);

    /**
     * Parses the state of a runner.
     *
     * @return the state; empty if the response cannot be parsed
     */
    Optional<RunnerState> parseRunnerState(FullHttpResponse response);
}
