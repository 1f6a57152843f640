package org.banyanstair.server.service;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.banyanstair.configuration.Configuration;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.Cancellation;
import org.banyanstair.idempotency.CallAnswer;

/** Serves callers. Implementations are safe for use by several threads. */
public interface CallerService {
    /**
     * Tells why the host does not serve yet.
     *
     * @return empty once the host is ready
     */
    Optional<Failure> notReadyReason();

    /**
     * Returns the configuration in force on this host.
     *
     * @return the configuration, immutable
     */
    Configuration configuration();

    /**
     * Runs a generation.
     *
     * @param generation what to generate; already checked against the configuration
     * @param sink gets the tokens and then exactly one end; called from one thread at a time
     * @return handle that withdraws the request, for a caller that has gone
     */
    Cancellation generate(Generation generation, GenerationSink sink);

    /**
     * Runs a call of a plain service.
     *
     * @param call the call; already checked against the configuration
     * @return the outcome; never completes exceptionally
     */
    CompletableFuture<CallAnswer> call(PlainCall call);

    /**
     * Returns the addresses that callers may use.
     *
     * @return addresses of live entry hosts
     */
    EntryAddresses entryAddresses();
}
