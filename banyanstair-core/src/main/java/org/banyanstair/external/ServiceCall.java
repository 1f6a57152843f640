package org.banyanstair.external;

import java.time.Instant;
import java.util.Optional;

import org.banyanstair.model.RequestId;

/**
 * One call of a plain service.
 *
 * @param path path and query, relative to the service
 * @param body empty if there is none
 * @param deadline instant after which the caller no longer waits for the answer
 */
public record ServiceCall(
        RequestId requestId, String method, String path, Optional<String> contentType, byte[] body, Instant deadline) {}
