package org.banyanstair.testsupport.fault;

import java.time.Instant;
import java.util.Optional;

/**
 * Faults common to all platform stand-ins.
 *
 * @param outage whether and how requests are rejected
 * @param outageUntil when the outage ends by itself; required for {@link Outage#REFUSED} over HTTP, because control
 *     requests cannot connect either
 * @param delayMillis time between the arrival of a request and its effect
 * @param answerDelayMillis time between the effect of a request and its response
 * @param lostAnswers number of next operations that take effect but whose connection is closed without a response
 * @param lostAnswerMethod restricts lost responses to an HTTP method, all methods if empty
 * @param lostAnswerProbability probability that any further operation loses its response, 0 to 1
 * @param seed seed of the random lost responses
 */
public record Faults(
        Outage outage,
        Optional<Instant> outageUntil,
        long delayMillis,
        long answerDelayMillis,
        int lostAnswers,
        Optional<String> lostAnswerMethod,
        double lostAnswerProbability,
        long seed) {
    /** No faults. */
    public static final Faults NONE = new Faults(Outage.NONE, Optional.empty(), 0, 0, 0, Optional.empty(), 0, 0);

    /** Replaces null by defaults and checks the ranges. */
    public Faults {
        outage = outage == null ? Outage.NONE : outage;
        outageUntil = outageUntil == null ? Optional.empty() : outageUntil;
        lostAnswerMethod = lostAnswerMethod == null ? Optional.empty() : lostAnswerMethod;
        if (delayMillis < 0 || answerDelayMillis < 0 || lostAnswers < 0) {
            throw new IllegalArgumentException("delayMillis, answerDelayMillis and lostAnswers must not be negative");
        }
        if (!(lostAnswerProbability >= 0 && lostAnswerProbability <= 1)) {
            throw new IllegalArgumentException("lostAnswerProbability must be from 0 to 1");
        }
    }

    /** Returns a copy with an outage that lasts until it is changed. */
    public Faults withOutage(Outage value) {
        return new Faults(
                value,
                Optional.empty(),
                delayMillis,
                answerDelayMillis,
                lostAnswers,
                lostAnswerMethod,
                lostAnswerProbability,
                seed);
    }

    /**
     * Returns a copy with an outage that ends by itself.
     *
     * @param until when the outage ends
     */
    public Faults withOutage(Outage value, Instant until) {
        return new Faults(
                value,
                Optional.of(until),
                delayMillis,
                answerDelayMillis,
                lostAnswers,
                lostAnswerMethod,
                lostAnswerProbability,
                seed);
    }

    /**
     * Returns a copy with other delays.
     *
     * @param beforeMillis time between the arrival of a request and its effect
     * @param afterMillis time between the effect of a request and its response
     */
    public Faults withDelays(long beforeMillis, long afterMillis) {
        return new Faults(
                outage,
                outageUntil,
                beforeMillis,
                afterMillis,
                lostAnswers,
                lostAnswerMethod,
                lostAnswerProbability,
                seed);
    }

    /** Returns a copy in which the next {@code count} operations lose their response. */
    public Faults withLostAnswers(int count) {
        return new Faults(
                outage,
                outageUntil,
                delayMillis,
                answerDelayMillis,
                count,
                lostAnswerMethod,
                lostAnswerProbability,
                seed);
    }

    /**
     * Returns a copy with random lost responses.
     *
     * @param probability probability that an operation loses its response, 0 to 1
     * @param randomSeed seed of the random numbers
     */
    public Faults withRandomLostAnswers(double probability, long randomSeed) {
        return new Faults(
                outage,
                outageUntil,
                delayMillis,
                answerDelayMillis,
                lostAnswers,
                lostAnswerMethod,
                probability,
                randomSeed);
    }

    /**
     * Returns a copy with lost responses restricted to one HTTP method, so that they affect appends but not concurrent
     * long polls.
     */
    public Faults withLostAnswerMethod(String method) {
        return new Faults(
                outage,
                outageUntil,
                delayMillis,
                answerDelayMillis,
                lostAnswers,
                Optional.of(method),
                lostAnswerProbability,
                seed);
    }
}
