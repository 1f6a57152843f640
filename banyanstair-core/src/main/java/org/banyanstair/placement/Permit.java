package org.banyanstair.placement;

import java.time.Instant;
import java.util.Optional;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.RequestId;

/**
 * Permission for one attempt on an endpoint.
 *
 * @param request the request
 * @param attempt number of the attempt
 * @param holder daemon that may start the attempt
 * @param endpoint the endpoint
 * @param adapter adapter in use
 * @param caller the caller, empty for a permit learned from an inventory
 * @param fingerprint fingerprint of the request
 * @param sequence sequence of the grant
 * @param grantedAt when it was granted or learned
 * @param loadStallMilliseconds time that the request waited for a load
 */
record Permit(
        RequestId request,
        int attempt,
        HostIdentity holder,
        EndpointId endpoint,
        AdapterVersion adapter,
        Optional<CallerId> caller,
        Fingerprint fingerprint,
        long sequence,
        Instant grantedAt,
        long loadStallMilliseconds) {}
