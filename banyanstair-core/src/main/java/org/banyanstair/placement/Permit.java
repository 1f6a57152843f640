package org.banyanstair.placement;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.RequestId;

/**
 * Permission to run one attempt on an endpoint.
 *
 * @param holder host that may start the attempt
 * @param caller empty if the permit was learned from an inventory
 * @param parts hashes of the shared parts of the prompt
 * @param sequence sequence number of the grant, or of the inventory that reported the permit
 * @param grantedAt when the permit was granted or learned
 * @param loadStallMilliseconds time that the request waited for an adapter load, 0 if none was needed
 */
record Permit(
        RequestId request,
        int attempt,
        HostIdentity holder,
        EndpointId endpoint,
        AdapterVersion adapter,
        Optional<CallerId> caller,
        Fingerprint fingerprint,
        List<Long> parts,
        long sequence,
        Instant grantedAt,
        long loadStallMilliseconds) {}
