package org.banyanstair.external;

import java.time.Instant;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.RequestId;

/**
 * A generation request to an engine.
 *
 * @param requestId id of the generation at the engine, the same when it is resumed
 * @param path {@code /v1/chat/completions} or {@code /v1/completions}
 * @param body JSON body of the caller, with {@code model} replaced by the engine name of the adapter and {@code stream}
 *     set to true
 * @param deadline instant after which the caller no longer waits for the answer
 * @param nextToken index of the first token to send
 * @param resumes whether to resume a stream that the engine still buffers, instead of starting a generation
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
