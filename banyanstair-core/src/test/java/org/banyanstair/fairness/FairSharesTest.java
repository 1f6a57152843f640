package org.banyanstair.fairness;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import org.banyanstair.fairness.FairShares.Claim;
import org.banyanstair.teams.TeamName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against shares that take from a team what it needs, or hand out more than the service serves. */
class FairSharesTest {
    private static final double ROUNDING = 1e-6;

    @Provide
    Arbitrary<Map<TeamName, Claim>> claims() {
        Arbitrary<Claim> claim = Combinators.combine(
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.doubles().between(0.1, 1000),
                        Arbitraries.doubles().between(0, 1000))
                .as(Claim::new);
        return claim.list().ofMinSize(1).ofMaxSize(20).map(FairSharesTest::named);
    }

    private static Map<TeamName, Claim> named(List<Claim> claims) {
        Map<TeamName, Claim> result = new TreeMap<>();
        claims.forEach(claim -> result.put(new TeamName("team-" + result.size()), claim));
        return result;
    }

    @Property(tries = 500, seed = "41")
    void allOfTheCapacityIsDividedAndNobodyGetsMoreThanItsDemand(
            @ForAll("claims") Map<TeamName, Claim> claims, @ForAll @DoubleRange(max = 5000) double capacity) {
        Map<TeamName, Double> shares = FairShares.divide(capacity, claims);
        claims.forEach((team, claim) -> assertTrue(shares.get(team) <= claim.demand()));
        double demand = claims.values().stream().mapToDouble(Claim::demand).sum();
        double sum = shares.values().stream().mapToDouble(Double::doubleValue).sum();
        assertEquals(Math.min(capacity, demand), sum, ROUNDING * (1 + capacity));
    }

    /** A quarter is the bound of the requirements; the implementation keeps a margin above it. */
    @Property(tries = 500, seed = "42")
    void noTeamIsServedLessThanAQuarterAsOftenAsAll(
            @ForAll("claims") Map<TeamName, Claim> claims, @ForAll @DoubleRange(max = 5000) double capacity) {
        double demand = claims.values().stream().mapToDouble(Claim::demand).sum();
        double servedPart = demand > 0 ? Math.min(1, capacity / demand) : 1;
        Map<TeamName, Double> shares = FairShares.divide(capacity, claims);
        claims.forEach((team, claim) -> assertTrue(shares.get(team) + ROUNDING >= 0.25 * servedPart * claim.demand()));
    }

    /** A team that gets less than its demand has at least what each other team of its rank has for its weight. */
    @Property(tries = 500, seed = "43")
    void unsatisfiedTeamsHaveTheHighestSharesOfTheirRank(
            @ForAll("claims") Map<TeamName, Claim> claims, @ForAll @DoubleRange(max = 5000) double capacity) {
        Map<TeamName, Double> shares = FairShares.divide(capacity, claims);
        double demand = claims.values().stream().mapToDouble(Claim::demand).sum();
        claims.forEach((team, claim) -> claims.forEach((otherTeam, other) -> {
            boolean unsatisfied = shares.get(team) < claim.demand() * (1 - ROUNDING) - ROUNDING;
            boolean aboveLeast =
                    shares.get(otherTeam) > FairShares.LEAST_PROPORTION * other.demand() * capacity / demand + ROUNDING;
            if (unsatisfied && aboveLeast && claim.rank() <= other.rank()) {
                double own = shares.get(team) / claim.weight();
                assertTrue(claim.rank() == other.rank());
                assertTrue(own >= shares.get(otherTeam) / other.weight() - ROUNDING * (1 + own));
            }
        }));
    }
}
