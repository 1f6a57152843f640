package org.banyanstair.external;

import java.util.concurrent.CompletableFuture;

import org.banyanstair.membership.Endpoint;

/** Calls plain services. Implementations are safe for use by several threads and never repeat a call. */
public interface PlainServiceClient {
    /**
     * Sends one call, once.
     *
     * @param endpoint where to send it
     * @param request the call
     * @return the result
     */
    CompletableFuture<ServiceCallResult> call(Endpoint endpoint, ServiceCall request);
}
