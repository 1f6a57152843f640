package org.banyanstair.reducer;

import java.time.Instant;

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
 */
public record GenerationRequest(
        RequestId id,
        ServiceDeclaration service,
        AdapterVersion adapter,
        CallerId caller,
        PriorityClass priority,
        Instant deadline,
        long prefix,
        Fingerprint fingerprint) {}
