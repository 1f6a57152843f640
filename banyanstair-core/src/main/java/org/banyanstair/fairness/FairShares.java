package org.banyanstair.fairness;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.banyanstair.teams.TeamName;

/** Divides the throughput of a service among teams: by rank, then weighted max-min fair within a rank. */
public final class FairShares {
    /**
     * Lower limit of a team's share, as a part of what it would get in proportion to its demand; no team may be served
     * less than a quarter as often, per request, as all teams together, and demand is known only approximately.
     */
    public static final double LEAST_PROPORTION = 0.27;

    /** Halvings of the interval of the level; the result is exact to the precision of the numbers. */
    private static final int ITERATIONS = 60;

    private FairShares() {}

    /**
     * What a team asks for.
     *
     * @param rank urgency, 0 is the most urgent
     * @param weight relative to the other teams, above 0
     * @param demand tokens a second over all hosts
     */
    public record Claim(int rank, double weight, double demand) {
        /** Checks the ranges. */
        public Claim {
            if (!(weight > 0) || !(demand >= 0)) {
                throw new IllegalArgumentException("invalid claim: weight " + weight + ", demand " + demand);
            }
        }
    }

    /**
     * Returns the share of each team in tokens a second, at most its demand.
     *
     * @param capacity throughput of the service in tokens a second
     */
    public static Map<TeamName, Double> divide(double capacity, Map<TeamName, Claim> claims) {
        double total = claims.values().stream().mapToDouble(Claim::demand).sum();
        Map<TeamName, Double> shares = new HashMap<>();
        if (total <= capacity) {
            claims.forEach((team, claim) -> shares.put(team, claim.demand()));
            return shares;
        }
        double leastPerDemand = LEAST_PROPORTION * Math.max(0, capacity) / total;
        double remaining = Math.max(0, capacity) - leastPerDemand * total;
        Map<Integer, List<Map.Entry<TeamName, Claim>>> byRank = claims.entrySet().stream()
                .collect(Collectors.groupingBy(entry -> entry.getValue().rank(), TreeMap::new, Collectors.toList()));
        for (List<Map.Entry<TeamName, Claim>> rank : byRank.values()) {
            List<Claim> members = rank.stream().map(Map.Entry::getValue).toList();
            double demand = members.stream().mapToDouble(Claim::demand).sum();
            double available = remaining + leastPerDemand * demand;
            double level = level(available, members, leastPerDemand);
            rank.forEach(entry -> shares.put(entry.getKey(), share(entry.getValue(), level, leastPerDemand)));
            remaining = Math.max(0, available - sum(members, level, leastPerDemand));
        }
        return shares;
    }

    /** Returns the highest tokens a second for each unit of weight that the available throughput allows. */
    private static double level(double available, Collection<Claim> claims, double leastPerDemand) {
        double high = claims.stream()
                .mapToDouble(claim -> claim.demand() / claim.weight())
                .max()
                .orElse(0);
        if (sum(claims, high, leastPerDemand) <= available) {
            return high;
        }
        double low = 0;
        for (int iteration = 0; iteration < ITERATIONS; iteration++) {
            double middle = (low + high) / 2;
            if (sum(claims, middle, leastPerDemand) <= available) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private static double sum(Collection<Claim> claims, double level, double leastPerDemand) {
        return claims.stream()
                .mapToDouble(claim -> share(claim, level, leastPerDemand))
                .sum();
    }

    private static double share(Claim claim, double level, double leastPerDemand) {
        return Math.min(claim.demand(), Math.max(level * claim.weight(), leastPerDemand * claim.demand()));
    }
}
