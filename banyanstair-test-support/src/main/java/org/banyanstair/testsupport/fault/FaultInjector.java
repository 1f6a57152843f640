package org.banyanstair.testsupport.fault;

import java.time.InstantSource;
import java.util.SplittableRandom;

/** Holds the faults in force and decides which operations they affect. Thread-safe. */
public final class FaultInjector {
    private final InstantSource clock;
    private Faults faults = Faults.NONE;
    private SplittableRandom random = new SplittableRandom(0);

    /**
     * Creates an injector without faults.
     *
     * @param clock clock for the end of outages
     */
    public FaultInjector(InstantSource clock) {
        this.clock = clock;
    }

    /** Replaces the faults in force and reseeds the random lost responses. */
    public synchronized void set(Faults value) {
        faults = value;
        random = new SplittableRandom(value.seed());
    }

    /**
     * Returns the faults in force.
     *
     * @return the faults, with the remaining number of lost responses and without an outage that has ended
     */
    public synchronized Faults get() {
        if (faults.outageUntil()
                .filter(until -> !clock.instant().isBefore(until))
                .isPresent()) {
            faults = faults.withOutage(Outage.NONE);
        }
        return faults;
    }

    /** Returns whether operations are to be rejected with status 503. */
    public boolean isUnavailable() {
        return get().outage() != Outage.NONE;
    }

    /**
     * Decides whether the response of an operation is lost. Consumes one of the lost responses or one random number, so
     * it must be called once for each operation, after its effect.
     *
     * @param method HTTP method of the operation
     * @return whether to close the connection without a response
     */
    public synchronized boolean consumeLostAnswer(String method) {
        if (faults.lostAnswerMethod().filter(limit -> !limit.equals(method)).isPresent()) {
            return false;
        }
        if (faults.lostAnswers() > 0) {
            faults = faults.withLostAnswers(faults.lostAnswers() - 1);
            return true;
        }
        return faults.lostAnswerProbability() > 0 && random.nextDouble() < faults.lostAnswerProbability();
    }
}
