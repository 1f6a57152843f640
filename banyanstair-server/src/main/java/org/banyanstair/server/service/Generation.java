package org.banyanstair.server.service;

import java.time.Instant;
import java.util.List;

import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.RequestId;

/**
 * Validated generation request of a caller.
 *
 * @param id id assigned by the entry host
 * @param service service as declared when the request arrived
 * @param adapter adapter version to use
 * @param caller the caller
 * @param priority priority class
 * @param deadline time after which the caller no longer waits
 * @param path {@code /v1/chat/completions} or {@code /v1/completions}
 * @param body JSON body for the engine: {@code model} is the engine name of the adapter, {@code stream} is on
 * @param prefix hash of the beginning of the prompt
 * @param fingerprint digest of caller, model and body
 * @param parts hashes of the parts of the prompt that other requests may share, in order
 */
public record Generation(
        RequestId id,
        ServiceDeclaration service,
        AdapterVersion adapter,
        CallerId caller,
        PriorityClass priority,
        Instant deadline,
        String path,
        byte[] body,
        long prefix,
        Fingerprint fingerprint,
        List<Long> parts) {
    /** Copies the parts. */
    public Generation {
        parts = List.copyOf(parts);
    }
}
