package org.banyanstair.peer;

import java.util.List;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.RequestId;

/**
 * A permit held by an entry host, as reported to the pool owner.
 *
 * @param attempt number of the attempt, starting at 1
 * @param endpoint endpoint on which the attempt runs
 * @param parts hashes of the shared parts of its prompt; null stands for none
 */
public record HeldPermit(
        RequestId request,
        int attempt,
        EndpointId endpoint,
        AdapterVersion adapter,
        Fingerprint fingerprint,
        List<Long> parts) {
    /** Replaces what a host of an earlier release does not send. */
    public HeldPermit {
        parts = parts == null ? List.of() : List.copyOf(parts);
    }
}
