package org.banyanstair.external;

import java.util.concurrent.CompletableFuture;

import org.banyanstair.membership.Endpoint;
import org.banyanstair.model.AdapterVersion;

/**
 * Gives orders to engines and runs requests on them.
 *
 * <p>Implementations are thread-safe. Futures complete normally for every foreseen failure.
 */
public interface EngineClient {
    /**
     * Orders an engine to load an adapter into a free slot; done when the adapter can serve.
     *
     * @param term fencing number of the order
     */
    CompletableFuture<EngineCommandResult> load(Endpoint endpoint, AdapterVersion adapter, long term);

    /**
     * Orders an engine to unload an adapter.
     *
     * @param term fencing number of the order
     */
    CompletableFuture<EngineCommandResult> unload(Endpoint endpoint, AdapterVersion adapter, long term);

    /**
     * Makes an engine that checks fencing numbers refuse orders of lower terms from now on.
     *
     * @param term the new lowest fencing number
     */
    CompletableFuture<EngineCommandResult> raiseFence(Endpoint endpoint, long term);

    /**
     * Reads what an engine has loaded and runs. The report may lag behind.
     *
     * @return the status; completes exceptionally with {@link org.banyanstair.errors.FailureException} if it cannot be
     *     read
     */
    CompletableFuture<EngineStatus> status(Endpoint endpoint);

    /**
     * Starts a generation and streams its tokens to the listener.
     *
     * @param listener gets the tokens in order and then exactly one end
     * @return handle that cancels the generation at the engine
     */
    Cancellation generate(Endpoint endpoint, EngineRequest request, TokenListener listener);
}
