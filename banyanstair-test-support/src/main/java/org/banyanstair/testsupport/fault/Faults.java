package org.banyanstair.testsupport.fault;

import java.time.Instant;
import java.util.Optional;

/**
 * Faults that every stand-in can show.
 *
 * @param outage whether requests are served
 * @param outageUntil instant at which the outage ends by itself; required for {@link Outage#REFUSED} over HTTP, because
 *     the control requests are refused too
 * @param delayMillis time between the arrival of a request and its effect
 * @param answerDelayMillis time between the effect of a request and its answer
 * @param lostAnswers number of operations from now on that take effect and whose connection is then closed without an
 *     answer
 * @param lostAnswerMethod HTTP method of the operations that can lose their answer, all methods if empty
 * @param lostAnswerProbability probability that an operation beyond those loses its answer, 0 to 1
 * @param seed seed of the random numbers behind the probability
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

    /** Replaces absent values by their defaults and checks the ranges. */
    public Faults {
        outage = outage == null ? Outage.NONE : outage;
        outageUntil = outageUntil == null ? Optional.empty() : outageUntil;
        lostAnswerMethod = lostAnswerMethod == null ? Optional.empty() : lostAnswerMethod;
        if (delayMillis < 0 || answerDelayMillis < 0 || lostAnswers < 0) {
            throw new IllegalArgumentException("delays and counts must not be negative");
        }
        if (!(lostAnswerProbability >= 0 && lostAnswerProbability <= 1)) {
            throw new IllegalArgumentException("lostAnswerProbability must be from 0 to 1");
        }
    }

    /**
     * Returns these faults with another outage that lasts until it is changed.
     *
     * @param value the outage
     * @return the faults
     */
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
     * Returns these faults with an outage that ends by itself.
     *
     * @param value the outage
     * @param until instant at which it ends
     * @return the faults
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
     * Returns these faults with other delays.
     *
     * @param beforeMillis time between the arrival of a request and its effect
     * @param afterMillis time between the effect of a request and its answer
     * @return the faults
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

    /**
     * Returns these faults with a fixed number of lost answers.
     *
     * @param count number of operations from now on that lose their answer
     * @return the faults
     */
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
     * Returns these faults with random lost answers.
     *
     * @param probability probability that an operation loses its answer, 0 to 1
     * @param randomSeed seed of the random numbers
     * @return the faults
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
     * Returns these faults with lost answers limited to one HTTP method, so that they hit appends and not the long polls
     * that run at the same time.
     *
     * @param method HTTP method
     * @return the faults
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
