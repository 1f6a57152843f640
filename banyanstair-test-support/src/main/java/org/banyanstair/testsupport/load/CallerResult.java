package org.banyanstair.testsupport.load;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.banyanstair.model.AdapterVersion;

/** What a caller saw of one request. */
public sealed interface CallerResult {
    /**
     * Returns the id that the entry host assigned.
     *
     * @return the header {@code X-Request-Id}, empty if no response came
     */
    Optional<String> requestId();

    /**
     * A whole generated answer.
     *
     * @param requestId header {@code X-Request-Id}
     * @param adapter header {@code X-Adapter-Version}
     * @param model field {@code model} of the answer
     * @param text the text
     * @param tokens number of tokens
     * @param sentAt when the request was sent
     * @param tokenTimes when each token came; empty if the answer was not streamed
     */
    record Generated(
            Optional<String> requestId,
            Optional<AdapterVersion> adapter,
            String model,
            String text,
            int tokens,
            Instant sentAt,
            List<Instant> tokenTimes)
            implements CallerResult {
        /** Copies the list. */
        public Generated {
            tokenTimes = List.copyOf(tokenTimes);
        }

        /**
         * Returns the time to the first token.
         *
         * @return time since the request was sent, empty if the answer was not streamed or has no tokens
         */
        public Optional<Duration> firstToken() {
            return tokenTimes.stream().findFirst().map(first -> Duration.between(sentAt, first));
        }

        /**
         * Returns the times between tokens.
         *
         * @return one less than the number of streamed tokens
         */
        public List<Duration> tokenGaps() {
            return IntStream.range(1, tokenTimes.size())
                    .mapToObj(index -> Duration.between(tokenTimes.get(index - 1), tokenTimes.get(index)))
                    .toList();
        }
    }

    /**
     * The whole answer of a plain service.
     *
     * @param requestId header {@code X-Request-Id}
     * @param status HTTP status
     * @param body the body
     */
    record ServiceAnswered(Optional<String> requestId, int status, byte[] body) implements CallerResult {}

    /**
     * The request did not run.
     *
     * @param requestId header {@code X-Request-Id}
     * @param status HTTP status, 0 if no connection could be opened
     * @param code code of the error envelope, {@code connect_failed} without a connection
     */
    record NotRun(Optional<String> requestId, int status, String code) implements CallerResult {}

    /**
     * The request may have run.
     *
     * @param requestId header {@code X-Request-Id}
     * @param status HTTP status, 0 if no response came
     * @param code code of the error envelope, {@code connection_lost} if the response did not come or not to its end
     * @param tokenTimes when each token came before the failure
     */
    record Unknown(Optional<String> requestId, int status, String code, List<Instant> tokenTimes)
            implements CallerResult {
        /** Copies the list. */
        public Unknown {
            tokenTimes = List.copyOf(tokenTimes);
        }
    }

    /**
     * Converts the result for a load report.
     *
     * @return outcome, code and token times
     */
    default LoadResult toLoadResult() {
        if (this instanceof NotRun notRun) {
            return new LoadResult(LoadOutcome.NOT_RUN, notRun.code(), List.of());
        }
        if (this instanceof Unknown unknown) {
            return new LoadResult(LoadOutcome.UNKNOWN, unknown.code(), unknown.tokenTimes());
        }
        List<Instant> times = this instanceof Generated generated ? generated.tokenTimes() : List.of();
        return new LoadResult(LoadOutcome.ANSWERED, "", times);
    }
}
