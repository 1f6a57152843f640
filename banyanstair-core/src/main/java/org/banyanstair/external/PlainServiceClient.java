package org.banyanstair.external;

import java.util.concurrent.CompletableFuture;

import org.banyanstair.membership.Endpoint;

/** Calls plain services. Implementations are thread-safe and never retry a call. */
public interface PlainServiceClient {
    /** Sends a call, without retries. */
    CompletableFuture<ServiceCallResult> call(Endpoint endpoint, ServiceCall request);
}
