package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.banyanstair.model.AdapterName;
import org.banyanstair.model.RequestId;

/**
 * A request of a caller, without its body.
 *
 * @param exchange number that this host gave to the request
 * @param id identifies this attempt of the caller
 * @param host host name that the caller used
 * @param path path without the query
 * @param baseModel base model to run on; empty for a plain service
 * @param adapter adapter to run on; empty for the base model or a plain service
 * @param prompt parts of the prompt in order, the last one belongs to this request; empty for a plain service
 * @param inputTokens tokens of the prompt
 * @param outputTokens most tokens that may be generated
 * @param callerDeadline when the caller stops waiting; empty if it did not say
 * @param resumeAfter id of the last event that the caller has, empty for a stream from its start
 * @param fingerprint digest of method, path, caller and body, the same when the request is sent again
 */
public record ForwardRequest(
        long exchange,
        RequestId id,
        String host,
        String path,
        Optional<String> baseModel,
        Optional<AdapterName> adapter,
        List<PromptPart> prompt,
        int inputTokens,
        int outputTokens,
        Optional<Instant> callerDeadline,
        Optional<Long> resumeAfter,
        long fingerprint) {
    /** Copies the prompt parts. */
    public ForwardRequest {
        prompt = List.copyOf(prompt);
    }
}
