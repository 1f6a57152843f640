package org.banyanstair.server.service;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.banyanstair.configuration.Configuration;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.Cancellation;
import org.banyanstair.idempotency.CallAnswer;

/** Operations for callers. Implementations are thread-safe. */
public interface CallerService {
    /** Returns why the host is not ready, empty if it is ready. */
    Optional<Failure> notReadyReason();

    /** Returns the configuration in force on this host, immutable. */
    Configuration configuration();

    /**
     * Runs a generation.
     *
     * @param generation what to generate; already validated against the configuration
     * @param sink receives the tokens and then exactly one end; not called concurrently
     * @return handle that cancels the request if the caller disconnects
     */
    Cancellation generate(Generation generation, GenerationSink sink);

    /**
     * Runs a plain service call.
     *
     * @param call the call; already validated against the configuration
     * @return the outcome; never completes exceptionally
     */
    CompletableFuture<CallAnswer> call(PlainCall call);

    /** Returns the addresses of live entry hosts that callers may use. */
    EntryAddresses entryAddresses();
}
