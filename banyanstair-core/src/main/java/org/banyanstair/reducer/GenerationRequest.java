package org.banyanstair.reducer;

import java.time.Instant;
import java.util.List;

import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.RequestId;

/**
 * The part of a generation request that the reducer needs; the daemon keeps the body.
 *
 * @param service service as declared when the request arrived
 * @param deadline instant after which the caller no longer waits for the answer
 * @param prefix hash of the first part of the prompt
 * @param fingerprint digest of caller, model and body
 * @param parts hashes of the parts of the prompt that other requests may share, in order
 */
public record GenerationRequest(
        RequestId id,
        ServiceDeclaration service,
        AdapterVersion adapter,
        CallerId caller,
        PriorityClass priority,
        Instant deadline,
        long prefix,
        Fingerprint fingerprint,
        List<Long> parts) {
    /** Copies the parts. */
    public GenerationRequest {
        parts = List.copyOf(parts);
    }
}
