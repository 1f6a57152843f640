package org.banyanstair.allotments;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.banyanstair.allotments.AllotmentSimulation.Demand;
import org.banyanstair.teams.Allotment;
import org.banyanstair.teams.AllotmentUnit;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamName;
import org.banyanstair.teams.TeamSettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against more or less use of an allotment by all hosts together than section 3.3 of the page requires. */
class AllotmentBoundTest {
    private static final Duration WINDOW = Duration.ofSeconds(8);

    /** Time after a start of all hosts, when the use before it is unknown. */
    private static final Duration START_TIME = Duration.ofSeconds(5);

    private static final double EXCESS = 0.1;

    private static final double USED_SHARE = 0.9;

    private static final String HOT = "hot";

    private static final String CALM = "calm";

    /**
     * Limits and demand.
     *
     * @param hot units a second that the hot team asks for
     * @param calm units a second that the other one asks for
     */
    record Load(String name, double rate, double burst, double cost, double hot, double calm, double slack) {
        Team team(String team, double factor) {
            return new Team(
                    new TeamName(team),
                    Set.of(),
                    OptionalInt.empty(),
                    Optional.of(new Allotment(rate * factor, burst * factor, AllotmentUnit.TOKENS, 200)));
        }

        TeamSettings settings() {
            return new TeamSettings(false, Duration.ofSeconds(5), WINDOW, EXCESS, slack);
        }

        double bound(double factor) {
            return (rate * factor * WINDOW.toSeconds() + burst * factor) * (1 + EXCESS) + slack;
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private static final Load LARGE =
            new Load("large", 403_596, 403_596, 9_300, 7.5 * 403_596 / 1.8, 403_596 / 1.8, 110_000);
    private static final Load SMALL =
            new Load("small", 29_000, 29_000, 9_300, 7.5 * 29_000 / 1.8, 29_000 / 1.8, 110_000);
    private static final Load SHORT = new Load("short", 29_000, 29_000, 1_100, 4 * 29_000 / 1.8, 29_000 / 1.8, 110_000);
    private static final Load FEW = new Load("few", 300, 300, 10, 800, 150, 500);

    /** Hosts, their messages and where requests go. */
    record Setting(int hosts, boolean relayed, Load load, String placement, long seed) {
        AllotmentSimulation simulation() {
            return new AllotmentSimulation(
                    hosts, relayed, load.settings(), seed, load.team(HOT, 1), load.team(CALM, 1));
        }

        Demand hot() {
            return new Demand(HOT, load.hot, load.cost, true, placement);
        }

        Demand calm() {
            return new Demand(CALM, load.calm, load.cost, true, placement);
        }
    }

    @Provide
    Arbitrary<Setting> settings() {
        return Combinators.combine(
                        Arbitraries.of(4, 6, 70),
                        Arbitraries.of(true, false),
                        Arbitraries.of(LARGE, SMALL, SHORT, FEW),
                        Arbitraries.of("one", "all", "moving"),
                        Arbitraries.longs())
                .as(Setting::new);
    }

    private static void assertBound(Setting setting, Demand demand, Instant from, double factor) {
        double largest = demand.largestWindow(WINDOW, from);
        double bound = setting.load.bound(factor);
        assertTrue(largest <= bound, demand.team + " used " + largest + " of " + bound);
    }

    /** Guards against a bound that holds, or a limit that is used, only without faults or only for steady demand. */
    @Property(tries = 40, seed = "1", shrinking = ShrinkingMode.OFF)
    void hotTeamUsesItsAllotmentAndNoMore(@ForAll("settings") Setting setting) {
        AllotmentSimulation simulation = setting.simulation();
        Demand hot = setting.hot();
        Demand calm = setting.calm();
        simulation.pass(START_TIME);
        simulation.pass(Duration.ofSeconds(4), calm);
        Instant begin = simulation.now;
        simulation.pass(Duration.ofSeconds(20), hot, calm);
        assertBound(setting, hot, Instant.MIN, 1);
        double used = hot.usedBetween(begin, simulation.now);
        assertTrue(used >= USED_SHARE * setting.load.rate * 20, "used " + used);
        assertEquals(0, calm.refused, "refused of " + calm.requests);
    }

    /** Guards against a limit that is left unused when the demand is only twice the allotment. */
    @Property(tries = 20, seed = "2", shrinking = ShrinkingMode.OFF)
    void teamThatAsksForTwiceItsAllotmentUsesIt(@ForAll("settings") Setting setting) {
        AllotmentSimulation simulation = setting.simulation();
        Demand hot = new Demand(HOT, 2 * setting.load.rate, setting.load.cost, true, setting.placement);
        simulation.pass(START_TIME);
        Instant begin = simulation.now;
        simulation.pass(Duration.ofSeconds(20), hot);
        assertBound(setting, hot, Instant.MIN, 1);
        double used = hot.usedBetween(begin, simulation.now);
        assertTrue(used >= USED_SHARE * setting.load.rate * 20, "used " + used);
    }

    /** Guards against refusals because single requests are large compared to the share of a host. */
    @Property(tries = 8, seed = "3", shrinking = ShrinkingMode.OFF)
    void teamBelowItsLimitIsNotRefused(@ForAll("placements") String placement, @ForAll long seed) {
        Setting setting = new Setting(70, true, SMALL, placement, seed);
        AllotmentSimulation simulation = setting.simulation();
        Demand calm = new Demand(CALM, 0.8 * SMALL.rate, SMALL.cost, true, placement);
        simulation.pass(START_TIME);
        simulation.pass(Duration.ofSeconds(40), calm);
        assertEquals(0, calm.refused, "refused of " + calm.requests);
    }

    @Provide
    Arbitrary<String> placements() {
        return Arbitraries.of("one", "all", "moving");
    }

    @Provide
    Arbitrary<String> faults() {
        return Arbitraries.of("kill", "freeze", "partition", "half", "join", "restart all", "all alone");
    }

    /** Guards against use that is counted twice or forgotten while hosts fail. */
    @Property(tries = 60, seed = "4", shrinking = ShrinkingMode.OFF)
    void boundHoldsWhileHostsFail(@ForAll("settings") Setting setting, @ForAll("faults") String fault) {
        AllotmentSimulation simulation = setting.simulation();
        Random random = new Random(setting.seed);
        Demand hot = setting.hot();
        Demand calm = setting.calm();
        simulation.pass(START_TIME);
        simulation.pass(Duration.ofSeconds(4), calm);
        simulation.pass(Duration.ofSeconds(3), hot, calm);
        for (int round = 0; round < 3; round++) {
            inject(simulation, fault, random);
            simulation.pass(Duration.ofMillis(2_000 + random.nextInt(4_000)), hot, calm);
            simulation.hosts.forEach(host -> host.setGroup(0));
            simulation.pass(Duration.ofMillis(1_000 + random.nextInt(2_000)), hot, calm);
        }
        assertBound(setting, hot, Instant.MIN, 1);
        assertBound(setting, calm, Instant.MIN, 1);
    }

    private static void inject(AllotmentSimulation simulation, String fault, Random random) {
        int count = simulation.hosts.size();
        switch (fault) {
            case "kill" -> simulation.hosts.get(random.nextInt(count)).kill(Duration.ofSeconds(1 + random.nextInt(3)));
            case "freeze" -> simulation
                    .hosts
                    .get(random.nextInt(count))
                    .freeze(Duration.ofSeconds(1 + random.nextInt(4)));
            case "partition" -> {
                for (int number = 0; number < Math.max(1, count / 3); number++) {
                    simulation.hosts.get(number).setGroup(1);
                }
            }
            case "half" -> {
                for (int number = 0; number < count / 2; number++) {
                    simulation.hosts.get(number).setGroup(1);
                }
            }
            case "all alone" -> {
                for (int number = 0; number < count; number++) {
                    simulation.hosts.get(number).setGroup(number);
                }
            }
            case "join" -> simulation.join();
            default -> simulation.hosts.forEach(host -> host.kill(Duration.ofMillis(500 + random.nextInt(500))));
        }
    }

    /** Guards against a limit that is lowered and takes effect late, or one that is raised and takes none. */
    @Property(tries = 20, seed = "5", shrinking = ShrinkingMode.OFF)
    void changedLimitsTakeEffect(@ForAll("settings") Setting setting) {
        AllotmentSimulation simulation = setting.simulation();
        Demand hot = setting.hot();
        simulation.pass(START_TIME);
        simulation.pass(Duration.ofSeconds(4), hot);
        simulation.configure(setting.load.team(HOT, 0.5), setting.load.team(CALM, 1));
        Instant lowered = simulation.now.plus(WINDOW);
        simulation.pass(Duration.ofSeconds(18), hot);
        assertBound(setting, hot, lowered, 0.5);
        simulation.configure(setting.load.team(HOT, 1), setting.load.team(CALM, 1));
        Instant raised = simulation.now;
        simulation.pass(Duration.ofSeconds(16), hot);
        assertBound(setting, hot, raised, 1);
        double used = hot.usedBetween(raised, simulation.now);
        assertTrue(used >= USED_SHARE * setting.load.rate * 16, "used " + used);
    }
}
