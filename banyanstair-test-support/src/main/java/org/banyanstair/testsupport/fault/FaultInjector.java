package org.banyanstair.testsupport.fault;

import java.time.InstantSource;
import java.util.SplittableRandom;

/** Holds the faults in force and decides for each operation whether it is hit. Safe for use by several threads. */
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

    /**
     * Replaces the faults in force. Starts the random numbers anew from the seed.
     *
     * @param value the faults
     */
    public synchronized void set(Faults value) {
        faults = value;
        random = new SplittableRandom(value.seed());
    }

    /**
     * Returns the faults in force.
     *
     * @return the faults, with the number of lost answers that are still to come and without an outage that has ended
     */
    public synchronized Faults get() {
        if (faults.outageUntil()
                .filter(until -> !clock.instant().isBefore(until))
                .isPresent()) {
            faults = faults.withOutage(Outage.NONE);
        }
        return faults;
    }

    /**
     * Tells whether operations are to be refused with status 503.
     *
     * @return whether an outage is in force
     */
    public boolean isUnavailable() {
        return get().outage() != Outage.NONE;
    }

    /**
     * Decides whether the operation that has just taken effect loses its answer. Each call consumes one of the lost
     * answers or one random number, so call it once per operation.
     *
     * @param method HTTP method of the operation
     * @return whether the connection is to be closed without an answer
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
