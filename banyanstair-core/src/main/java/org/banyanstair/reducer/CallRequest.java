package org.banyanstair.reducer;

import java.util.Optional;

import org.banyanstair.external.ServiceCall;
import org.banyanstair.idempotency.CallKey;
import org.banyanstair.model.PoolId;

/**
 * A call of a plain service that a caller has sent to this host.
 *
 * @param key key of a non-idempotent call, empty for an idempotent one
 * @param bodyDigest digest of method, path and body
 */
public record CallRequest(ServiceCall call, PoolId pool, Optional<CallKey> key, String bodyDigest) {}
