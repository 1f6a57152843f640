package org.banyanstair.testsupport.engine;

import java.time.Instant;
import java.util.Optional;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;

/**
 * Describes one generation that the engine started.
 *
 * @param adapter name of the adapter at the engine, {@code service/adapter@version}
 * @param promptDigest SHA-256 of the prompt in hexadecimal
 * @param firstToken index of the first token that this run produced
 * @param tokens tokens that this run produced
 * @param started when the generation entered the batch
 * @param ended when the generation left the batch, empty while it runs
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
