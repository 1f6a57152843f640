package org.banyanstair.external;

import java.util.concurrent.CompletableFuture;

import org.banyanstair.membership.Endpoint;

/** Calls plain services. Implementations are thread-safe and never repeat a call. */
public interface PlainServiceClient {
    /**
     * Sends one call, once.
     *
     * @param endpoint where to send it
     */
    CompletableFuture<ServiceCallResult> call(Endpoint endpoint, ServiceCall request);
}
