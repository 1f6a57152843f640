package org.banyanstair.locality;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * Response time and failures of an endpoint by the latest attempts of one host.
 *
 * <p>The time is a median, so that a few slow answers do not count. Reads no clock. Not thread-safe.
 */
public final class ResponseEstimate {
    /** Number of attempts that are kept. */
    private static final int MAXIMUM_SAMPLES = 16;

    /** Age of attempts that still say whether an endpoint fails; one that has recovered is used again after it. */
    private static final Duration OUTCOME_AGE = Duration.ofSeconds(2);

    /** Age of attempts that still say how fast an endpoint is, which changes less often. */
    private static final Duration TIME_AGE = Duration.ofSeconds(5);

    /** Answers below which the time is not known, since a single one may be slow by chance. */
    private static final int MINIMUM_ANSWERS = 3;

    /** Attempts and failures below which an endpoint is not taken to fail, since single failures have other causes. */
    private static final int MINIMUM_ATTEMPTS = 4;

    private static final int MINIMUM_FAILURES = 2;

    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(boolean success, double milliseconds, Instant at) {}

    /**
     * Records the end of an attempt.
     *
     * @param milliseconds time of the attempt without its expected wait for a slot; ignored if it failed
     * @param now not before that of the previous call
     */
    public void record(boolean success, double milliseconds, Instant now) {
        samples.addLast(new Sample(success, milliseconds, now));
        if (samples.size() > MAXIMUM_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Forgets all attempts, after the endpoint has restarted. */
    public void clear() {
        samples.clear();
    }

    /** Returns the median time of the latest answers; empty if there are too few. */
    public OptionalDouble medianMilliseconds(Instant now) {
        Instant earliest = now.minus(TIME_AGE);
        double[] times = samples.stream()
                .filter(sample -> sample.success() && sample.at().isAfter(earliest))
                .mapToDouble(Sample::milliseconds)
                .sorted()
                .toArray();
        return times.length < MINIMUM_ANSWERS ? OptionalDouble.empty() : OptionalDouble.of(times[times.length / 2]);
    }

    /** Returns the share of the latest attempts that failed; 0 if there are too few to tell. */
    public double failureShare(Instant now) {
        Instant earliest = now.minus(OUTCOME_AGE);
        int attempts = 0;
        int failures = 0;
        for (Sample sample : samples) {
            if (sample.at().isAfter(earliest)) {
                attempts++;
                failures += sample.success() ? 0 : 1;
            }
        }
        return attempts < MINIMUM_ATTEMPTS || failures < MINIMUM_FAILURES ? 0 : (double) failures / attempts;
    }
}
