package org.banyanstair.selection;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Chooses endpoints so that hosts which know the same old loads do not all choose the same one.
 *
 * <p>Of the requests that other hosts reported, some have ended since, and in a steady state as many others have taken
 * their place. Those are assumed to have filled the least loaded endpoints up to a common level; each endpoint is chosen
 * in proportion to what it got of them. So fresh reports lead to the least loaded endpoint, and reports that are older
 * than requests run to an even choice. After Dahlin, "Interpreting stale load information" (IEEE TPDS 2000). Not
 * thread-safe.
 */
public final class StaleLoadBalancer {
    /** Factor of the load of an endpoint whose slots are full, because its next request waits for another one to end. */
    private static final double FULL_FACTOR = 2;

    /** Halvings of the interval in which the level is searched. */
    private static final int LEVEL_STEPS = 50;

    /** Requests below which others count as none, so that rounding does not decide. */
    private static final double NEGLIGIBLE_REQUESTS = 1e-6;

    private final SplittableRandom random;

    /**
     * Creates a balancer.
     *
     * @param seed different on each host
     */
    public StaleLoadBalancer(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Returns the index of the chosen endpoint.
     *
     * @param loads endpoints that can take the request, at least one
     * @param reportAge mean age of what is known of other hosts
     */
    public int choose(List<ReportedLoad> loads, Duration reportAge) {
        double[] shares = shares(loads, reportAge);
        double remaining = random.nextDouble();
        int last = 0;
        for (int index = 0; index < shares.length; index++) {
            if (shares[index] > 0) {
                last = index;
                remaining -= shares[index];
                if (remaining < 0) {
                    break;
                }
            }
        }
        return last;
    }

    /** Returns the probability with which each endpoint is chosen; the sum is 1. */
    static double[] shares(List<ReportedLoad> loads, Duration reportAge) {
        double age = reportAge.toNanos() / 1e6;
        double[] known = new double[loads.size()];
        double unknown = 0;
        for (int index = 0; index < known.length; index++) {
            ReportedLoad load = loads.get(index);
            double surviving = load.survivingPart(age);
            known[index] = load.own() + surviving * load.others();
            unknown += (1 - surviving) * load.others();
        }
        double[] shares = new double[known.length];
        double level = unknown > NEGLIGIBLE_REQUESTS ? level(loads, known, unknown) : 0;
        double total = 0;
        for (int index = 0; index < shares.length; index++) {
            shares[index] = taken(loads.get(index), known[index], level);
            total += shares[index];
        }
        if (total < NEGLIGIBLE_REQUESTS) {
            return leastLoaded(loads, known);
        }
        for (int index = 0; index < shares.length; index++) {
            shares[index] /= total;
        }
        return shares;
    }

    private static double[] leastLoaded(List<ReportedLoad> loads, double[] known) {
        double[] costs = new double[known.length];
        double least = Double.POSITIVE_INFINITY;
        for (int index = 0; index < costs.length; index++) {
            ReportedLoad load = loads.get(index);
            costs[index] = cost(known[index] / load.slots()) + load.handicap();
            least = Math.min(least, costs[index]);
        }
        int ties = 0;
        for (double cost : costs) {
            ties += cost == least ? 1 : 0;
        }
        for (int index = 0; index < costs.length; index++) {
            costs[index] = costs[index] == least ? 1.0 / ties : 0;
        }
        return costs;
    }

    /** Returns the cost at which the endpoints below it can take a number of requests. */
    private static double level(List<ReportedLoad> loads, double[] known, double requests) {
        double low = 0;
        double high = 0;
        for (int index = 0; index < known.length; index++) {
            ReportedLoad load = loads.get(index);
            high = Math.max(high, cost((known[index] + requests) / load.slots()) + load.handicap());
        }
        for (int step = 0; step < LEVEL_STEPS; step++) {
            double middle = (low + high) / 2;
            double taken = 0;
            for (int index = 0; index < known.length; index++) {
                taken += taken(loads.get(index), known[index], middle);
            }
            if (taken < requests) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }

    private static double taken(ReportedLoad load, double known, double level) {
        return Math.max(0, utilization(level - load.handicap()) * load.slots() - known);
    }

    private static double cost(double utilization) {
        return utilization < 1 ? utilization : FULL_FACTOR * utilization;
    }

    /** Returns the utilization at which an endpoint has a cost. */
    private static double utilization(double cost) {
        return cost < 1 ? Math.max(0, cost) : Math.max(1, cost / FULL_FACTOR);
    }
}
