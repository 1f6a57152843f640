package org.banyanstair.testsupport.engine;

import java.time.Instant;
import java.util.Optional;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;

/**
 * One generation that the engine started.
 *
 * @param requestId id of the request
 * @param adapter engine name of the adapter
 * @param promptDigest SHA-256 of the prompt in hexadecimal
 * @param firstToken index of the first token that this run produced
 * @param tokens tokens that this run produced
 * @param started when it entered the batch
 * @param ended when it left the batch, empty while it runs
 * @param outcome how it ended
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record EngineRun(
        String requestId,
        String adapter,
        String promptDigest,
        int firstToken,
        int tokens,
        Instant started,
        Optional<Instant> ended,
        RunOutcome outcome) {}
