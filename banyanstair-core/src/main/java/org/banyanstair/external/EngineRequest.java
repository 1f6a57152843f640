package org.banyanstair.external;

import java.time.Instant;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.RequestId;

/**
 * One generation as sent to an engine.
 *
 * @param requestId id under which the engine knows the generation, the same when it is resumed
 * @param path {@code /v1/chat/completions} or {@code /v1/completions}
 * @param body JSON body of the caller with {@code model} set to the engine name of the adapter and {@code stream} on
 * @param deadline instant after which nobody waits for the answer
 * @param nextToken index of the first token wanted
 * @param resumes whether the engine still has the stream and only sends it again from the first token wanted
 */
public record EngineRequest(
        RequestId requestId,
        String path,
        byte[] body,
        AdapterVersion adapter,
        PriorityClass priority,
        Instant deadline,
        long nextToken,
        boolean resumes) {}
