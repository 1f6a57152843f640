package org.banyanstair.external;

import java.util.concurrent.CompletableFuture;

import org.banyanstair.membership.Endpoint;
import org.banyanstair.model.AdapterVersion;

/**
 * Gives orders to engines and runs requests on them.
 *
 * <p>Implementations are safe for use by several threads. Futures complete normally for every foreseen failure.
 */
public interface EngineClient {
    /**
     * Orders an engine to load an adapter into a free slot; done when the adapter can serve.
     *
     * @param endpoint the engine
     * @param adapter what to load
     * @param term fencing number of the order
     * @return the result
     */
    CompletableFuture<EngineCommandResult> load(Endpoint endpoint, AdapterVersion adapter, long term);

    /**
     * Orders an engine to unload an adapter.
     *
     * @param endpoint the engine
     * @param adapter what to unload
     * @param term fencing number of the order
     * @return the result
     */
    CompletableFuture<EngineCommandResult> unload(Endpoint endpoint, AdapterVersion adapter, long term);

    /**
     * Makes an engine that checks fencing numbers refuse orders of lower terms from now on.
     *
     * @param endpoint the engine
     * @param term the new lowest fencing number
     * @return the result
     */
    CompletableFuture<EngineCommandResult> raiseFence(Endpoint endpoint, long term);

    /**
     * Reads what an engine has loaded and runs. The report may lag behind.
     *
     * @param endpoint the engine
     * @return the status; completes exceptionally with {@link org.banyanstair.errors.FailureException} if it cannot be
     *     read
     */
    CompletableFuture<EngineStatus> status(Endpoint endpoint);

    /**
     * Starts a generation and streams its tokens to the listener.
     *
     * @param endpoint the engine
     * @param request what to generate
     * @param listener gets the tokens in order and then exactly one end
     * @return handle that cancels the generation at the engine
     */
    Cancellation generate(Endpoint endpoint, EngineRequest request, TokenListener listener);
}
