package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the adapter loads in transit over all runners to what the weight store serves without slowing down, which it
 * does not tell.
 *
 * <p>Built for demand that moves to adapters that no runner holds: too low a limit leaves requests waiting beside an
 * idle weight store, too high a one makes all loads late, so that requests reach runners before their adapters. The
 * limit is raised while loads are on time although it is nearly reached: quickly up to shortly below the limit at which
 * a load was last late, and slowly beyond. It is lowered by late loads. Not thread-safe.
 */
final class LoadConcurrencyLimit {
    /** Loads in transit, as a share of the limit, from which on an on-time load shows that the limit may be higher. */
    private static final double MINIMUM_UTILIZATION = 0.75;

    /** Time after such utilization in which the loads that were in transit then are found on time. */
    private static final Duration OBSERVATION_PERIOD = Duration.ofSeconds(1);

    /** Increase by each on-time load where no load was late: a quarter in the time of a load. */
    private static final double QUICK_INCREASE = 0.25;

    /** Increase by as many on-time loads as the limit allows, where loads may be late. */
    private static final double SLOW_INCREASE = 0.02;

    /** Largest increase by the loads observed at once, as a share of the limit. */
    private static final double MAXIMUM_INCREASE_SHARE = 0.1;

    /** Share of the limit at which a load was last late, up to which the limit is raised quickly. */
    private static final double QUICK_INCREASE_SHARE = 0.92;

    private static final double DECREASE_FACTOR = 0.85;

    /** Time after a decrease in which the loads that are found late were started under the earlier limit. */
    private static final Duration DECREASE_INTERVAL = Duration.ofMillis(700);

    /** Runners per load in transit at the lowest limit, so that single late loads cannot stop the loading. */
    private static final int RUNNERS_PER_LOAD_AT_MINIMUM = 4;

    private double limit;
    private double lateAt = Double.MAX_VALUE;
    private Instant nextDecreaseAt = Instant.MIN;
    private Instant utilizedUntil = Instant.MIN;

    /**
     * Returns the limit.
     *
     * @param runners number of runners that share the weight store
     */
    int get(int runners) {
        if (limit == 0) {
            limit = RunnerTimings.loadsInTransit(runners);
        }
        int minimum = Math.max(RunnerTimings.LOADS_PER_RUNNER, runners / RUNNERS_PER_LOAD_AT_MINIMUM);
        int maximum = Math.max(minimum, runners * RunnerTimings.LOADS_PER_RUNNER);
        limit = Math.min(maximum, Math.max(minimum, limit));
        return (int) limit;
    }

    /**
     * Returns the loads in transit, with one more, as a multiple of the limit.
     *
     * @param inTransit loads in transit now
     */
    double utilization(int inTransit, int runners, Instant now) {
        int current = get(runners);
        if (inTransit >= MINIMUM_UTILIZATION * current) {
            utilizedUntil = now.plus(OBSERVATION_PERIOD);
        }
        return (inTransit + 1.0) / current;
    }

    /**
     * Records loads whose adapter was usable at the end of its expected load time.
     *
     * @param loads number of these loads
     */
    void recordOnTime(long loads, int runners, Instant now) {
        int current = get(runners);
        if (now.isBefore(utilizedUntil)) {
            double increase = limit < QUICK_INCREASE_SHARE * lateAt ? QUICK_INCREASE : SLOW_INCREASE / current;
            limit += Math.min(loads * increase, MAXIMUM_INCREASE_SHARE * current);
        }
    }

    /** Records that an adapter was missing at the end of its expected load time. */
    void recordLate(int runners, Instant now) {
        if (now.isBefore(nextDecreaseAt)) {
            return;
        }
        lateAt = get(runners);
        limit = lateAt * DECREASE_FACTOR;
        nextDecreaseAt = now.plus(DECREASE_INTERVAL);
    }
}
