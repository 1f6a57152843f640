package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.banyanstair.model.AdapterName;
import org.banyanstair.model.RequestId;
import org.banyanstair.teams.KeyDigest;

/**
 * A caller's request, without its body.
 *
 * @param exchange number that this host assigned to the request
 * @param id identifies this attempt of the caller
 * @param host host name that the caller used
 * @param path path without the query
 * @param baseModel base model to run on; empty for a plain service
 * @param adapter adapter to run on; empty for the base model or a plain service
 * @param prompt parts of the prompt in order, of which the last is not shared; empty for a plain service
 * @param inputTokens length of the prompt in tokens
 * @param outputTokens maximum number of generated tokens
 * @param callerDeadline when the caller stops waiting; empty if unspecified
 * @param resumeAfter id of the last event that the caller has received; empty for a stream from its start
 * @param resumes the caller's attempt that brought the first event of the stream; empty for a stream from its start, or
 *     if the caller does not name it
 * @param key digest of the caller's API key; empty if it sent none
 * @param fingerprint digest of method, path, caller and body, the same when the request is sent again
 * @param widerFingerprints digests of less than that, which other requests may share: a request that is sent again may
 *     come from another address, for example
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
        Optional<RequestId> resumes,
        Optional<KeyDigest> key,
        long fingerprint,
        List<Long> widerFingerprints) {
    /** Copies the lists. */
    public ForwardRequest {
        prompt = List.copyOf(prompt);
        widerFingerprints = List.copyOf(widerFingerprints);
    }

    /** Returns the ids of the parts of the prompt that other requests may share, in order. */
    List<Long> sharedParts() {
        return prompt.stream()
                .limit(Math.max(0, prompt.size() - 1))
                .map(PromptPart::id)
                .toList();
    }
}
