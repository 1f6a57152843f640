package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates an upper limit of the time until a request is answered, from the slowest recent requests of its route.
 *
 * <p>The time is that until the first output, plus that of the output in proportion to its maximum length. Not
 * thread-safe.
 */
final class RunTimeEstimator {
    /** Requests count for one to two periods, so that a past peak of load does not count for long. */
    private static final Duration PERIOD = Duration.ofSeconds(20);

    /** A request may be slower than all recent ones of its route. */
    private static final double MARGIN = 1.25;

    private final Map<String, Maximum> firstOutput = new HashMap<>();
    private final Map<String, Maximum> outputPerToken = new HashMap<>();

    /** Maximum of the values that were recorded in this period and the previous one. */
    private static final class Maximum {
        private double current;
        private double previous;
        private Instant periodEnd = Instant.MIN;

        void record(double value, Instant now) {
            advance(now);
            current = Math.max(current, value);
        }

        Optional<Double> get(Instant now) {
            advance(now);
            double maximum = Math.max(current, previous);
            return maximum > 0 ? Optional.of(maximum) : Optional.empty();
        }

        private void advance(Instant now) {
            if (now.isBefore(periodEnd)) {
                return;
            }
            previous = now.isBefore(periodEnd.plus(PERIOD)) ? current : 0;
            current = 0;
            periodEnd = now.plus(PERIOD);
        }
    }

    /**
     * Records a request that was answered.
     *
     * @param untilFirstOutput time from its arrival to the first output
     * @param output time from the first output to the end
     */
    void record(Route route, ForwardRequest request, Duration untilFirstOutput, Duration output, Instant now) {
        firstOutput
                .computeIfAbsent(route.name(), name -> new Maximum())
                .record(Math.max(1, untilFirstOutput.toMillis()), now);
        outputPerToken
                .computeIfAbsent(route.name(), name -> new Maximum())
                .record(Math.max(1.0, output.toMillis()) / tokens(request), now);
    }

    /** Returns when a request that arrives now has probably ended; empty if no recent request tells. */
    Optional<Instant> expectedEnd(Route route, ForwardRequest request, Instant now) {
        Optional<Double> start =
                Optional.ofNullable(firstOutput.get(route.name())).flatMap(known -> known.get(now));
        Optional<Double> perToken =
                Optional.ofNullable(outputPerToken.get(route.name())).flatMap(known -> known.get(now));
        return start.flatMap(
                first -> perToken.map(pace -> now.plusMillis((long) (MARGIN * (first + pace * tokens(request))))));
    }

    private static int tokens(ForwardRequest request) {
        return Math.max(1, request.outputTokens());
    }
}
