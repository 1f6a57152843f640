package org.banyanstair.testsupport.service;

import java.time.Instant;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;

/**
 * Describes one call that the plain service ran.
 *
 * @param requestId header {@code X-Request-Id} of the call, empty if it was missing
 * @param path path and query
 * @param body body as text
 * @param started when the call ran
 * @param ended when the response was due
 * @param answered whether the response was sent
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record ServiceRun(
        String requestId, String method, String path, String body, Instant started, Instant ended, boolean answered) {}
