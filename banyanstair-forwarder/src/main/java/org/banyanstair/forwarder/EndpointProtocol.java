package org.banyanstair.forwarder;

import java.time.Instant;
import java.util.Optional;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import org.banyanstair.forwarding.AdapterCommand;
import org.banyanstair.forwarding.CommandResult;
import org.banyanstair.forwarding.ForwardingEffect;
import org.banyanstair.forwarding.RunnerState;

/** How endpoints speak. Implementations have no state. */
public interface EndpointProtocol {
    /**
     * Creates the request that is sent to an endpoint.
     *
     * @param original the caller's request; keeps its body
     * @param send how it is sent
     * @param now present instant
     * @return a request with its own reference to the body
     */
    FullHttpRequest createRequest(FullHttpRequest original, ForwardingEffect.Send send, Instant now);

    /**
     * Tells what the head of an answer says.
     *
     * @param response the head
     * @param requestId id of the request that was sent
     * @return its kind
     */
    ResponseKind classify(HttpResponse response, String requestId);

    /**
     * Creates a command.
     *
     * @param command the command
     * @return the request
     */
    FullHttpRequest commandRequest(AdapterCommand command);

    /**
     * Reads the answer to a command.
     *
     * @param response the answer
     * @return the result
     */
    CommandResult parseCommandResult(FullHttpResponse response);

    /**
     * Creates a question for the state of a runner.
     *
     * @param inspect the runner
     * @return the request
     */
    FullHttpRequest inspectionRequest(ForwardingEffect.Inspect inspect);

    /**
     * Reads a runner's answer.
     *
     * @param response the answer
     * @return its state; empty if it cannot be read
     */
    Optional<RunnerState> parseRunnerState(FullHttpResponse response);
}
