package org.banyanstair.external;

import java.util.concurrent.CompletableFuture;

import org.banyanstair.membership.Endpoint;
import org.banyanstair.model.AdapterVersion;

/**
 * Sends commands to engines and runs generations on them.
 *
 * <p>Implementations are thread-safe. Futures complete normally for every expected failure, unless stated otherwise.
 */
public interface EngineClient {
    /**
     * Commands an engine to load an adapter into a free slot; completes when the adapter can be used.
     *
     * @param term fencing token of the command
     */
    CompletableFuture<EngineCommandResult> load(Endpoint endpoint, AdapterVersion adapter, long term);

    /**
     * Commands an engine to unload an adapter.
     *
     * @param term fencing token of the command
     */
    CompletableFuture<EngineCommandResult> unload(Endpoint endpoint, AdapterVersion adapter, long term);

    /**
     * Makes an engine that checks fencing tokens refuse commands with lower terms from now on.
     *
     * @param term the new lowest fencing token
     */
    CompletableFuture<EngineCommandResult> raiseFence(Endpoint endpoint, long term);

    /**
     * Reads the loaded adapters and running requests of an engine. The status may be stale.
     *
     * @return the status; completes exceptionally with {@link org.banyanstair.errors.FailureException} if it cannot be
     *     read
     */
    CompletableFuture<EngineStatus> status(Endpoint endpoint);

    /**
     * Starts a generation and streams its tokens to the listener.
     *
     * @param listener receives the tokens in order and then exactly one result
     * @return handle that cancels the generation at the engine
     */
    Cancellation generate(Endpoint endpoint, EngineRequest request, TokenListener listener);
}
