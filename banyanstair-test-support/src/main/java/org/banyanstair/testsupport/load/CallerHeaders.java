package org.banyanstair.testsupport.load;

import java.time.Instant;
import java.util.Optional;

import org.banyanstair.model.PriorityClass;

/**
 * Headers of a caller's request.
 *
 * @param bearerKey key of the caller, for {@code Authorization}
 * @param deadline value of {@code X-Request-Deadline}
 * @param priority value of {@code X-Priority}
 * @param idempotencyKey value of {@code Idempotency-Key}
 */
public record CallerHeaders(
        String bearerKey,
        Optional<Instant> deadline,
        Optional<PriorityClass> priority,
        Optional<String> idempotencyKey) {}
