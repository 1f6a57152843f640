package org.banyanstair.reducer;

import java.time.Instant;

import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.RequestId;

/**
 * A generation request as the reducer sees it; the body stays in the shell.
 *
 * @param service service as declared at arrival
 * @param deadline instant after which nobody waits for the answer
 * @param prefix hash of the first part of the prompt
 * @param fingerprint digest of what is asked for
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
