package org.banyanstair.external;

import java.time.Instant;
import java.util.Optional;

import org.banyanstair.model.RequestId;

/**
 * One call of a plain service.
 *
 * @param path path and query below the service
 * @param body body, empty for none
 * @param deadline instant after which nobody waits for the answer
 */
public record ServiceCall(
        RequestId requestId, String method, String path, Optional<String> contentType, byte[] body, Instant deadline) {}
