package org.banyanstair.testsupport.load;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.banyanstair.model.AdapterVersion;

/** Outcome of one request as its caller sees it. */
public sealed interface CallerResult {
    /**
     * Returns the request id that the entry host assigned.
     *
     * @return header {@code X-Request-Id}, empty without a response
     */
    Optional<String> requestId();

    /**
     * A complete generated answer.
     *
     * @param requestId header {@code X-Request-Id}
     * @param adapter header {@code X-Adapter-Version}
     * @param model field {@code model} of the answer
     * @param sentAt when the request was sent
     * @param tokenTimes arrival times of the tokens, empty if the answer was not streamed
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
        /** Makes an unmodifiable copy of the list. */
        public Generated {
            tokenTimes = List.copyOf(tokenTimes);
        }

        /**
         * Returns the time to the first token.
         *
         * @return time from sending the request, empty if the answer was not streamed or has no tokens
         */
        public Optional<Duration> firstToken() {
            return tokenTimes.stream().findFirst().map(first -> Duration.between(sentAt, first));
        }

        /**
         * Returns the times between consecutive tokens.
         *
         * @return one element less than there are streamed tokens
         */
        public List<Duration> tokenGaps() {
            return IntStream.range(1, tokenTimes.size())
                    .mapToObj(index -> Duration.between(tokenTimes.get(index - 1), tokenTimes.get(index)))
                    .toList();
        }
    }

    /**
     * The complete response of a plain service.
     *
     * @param requestId header {@code X-Request-Id}
     */
    record ServiceAnswered(Optional<String> requestId, int status, byte[] body) implements CallerResult {}

    /**
     * The request did not run.
     *
     * @param requestId header {@code X-Request-Id}
     * @param status HTTP status, 0 if the connection failed
     * @param code code of the error envelope, {@code connect_failed} if the connection failed
     */
    record NotRun(Optional<String> requestId, int status, String code) implements CallerResult {}

    /**
     * The request may have run.
     *
     * @param requestId header {@code X-Request-Id}
     * @param status HTTP status, 0 without a response
     * @param code code of the error envelope, {@code connection_lost} if the response is missing or incomplete
     * @param tokenTimes arrival times of the tokens before the failure
     */
    record Unknown(Optional<String> requestId, int status, String code, List<Instant> tokenTimes)
            implements CallerResult {
        /** Makes an unmodifiable copy of the list. */
        public Unknown {
            tokenTimes = List.copyOf(tokenTimes);
        }
    }

    /** Converts the result to the form that load reports count. */
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
