package org.banyanstair.fairness;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.banyanstair.teams.TeamName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an order in which a team or a class waits for the requests of another one. */
class FairOrderTest {
    private static final Instant NOW = Instant.ofEpochSecond(100);

    private final FairOrder order = new FairOrder();
    private final List<WaitingTurn<Integer>> waiting = new ArrayList<>();
    private int requests;

    private WaitingTurn<Integer> turn(int rank, String team, double weight, double tokens, long startsInMilliseconds) {
        return new WaitingTurn<>(
                ++requests, rank, new TeamName(team), weight, tokens, NOW.plusMillis(startsInMilliseconds));
    }

    private WaitingTurn<Integer> serve() {
        WaitingTurn<Integer> next = order.order(waiting, NOW).get(0);
        waiting.remove(next);
        order.served(next, waiting);
        return next;
    }

    /** Two teams that always have requests waiting get tokens in proportion to their weights. */
    @Property(tries = 100, seed = "44")
    void waitingTeamsAreServedByWeight(@ForAll @IntRange(min = 1, max = 9) int weight, @ForAll long seed) {
        FairOrder fresh = new FairOrder();
        Random random = new Random(seed);
        List<WaitingTurn<Integer>> queue = new ArrayList<>();
        Map<TeamName, Double> served = new HashMap<>();
        for (int round = 0; round < 600; round++) {
            while (queue.size() < 20) {
                boolean heavy = queue.stream().filter(each -> each.weight() > 1).count() < 10;
                queue.add(turn(0, heavy ? "a" : "b", heavy ? weight + 0.001 : 1, 1 + random.nextInt(10), 50));
            }
            WaitingTurn<Integer> next = fresh.order(queue, NOW).get(0);
            queue.remove(next);
            fresh.served(next, queue);
            served.merge(next.team(), next.tokens(), Double::sum);
        }
        double difference = served.get(new TeamName("a")) / weight - served.get(new TeamName("b"));
        // The service that two waiting teams get differs by at most one request of each, which has up to 10 tokens.
        assertTrue(Math.abs(difference) <= 10 + 10.0 / weight + 1, "difference " + difference);
    }

    @Test
    void burstOfOneTeamDoesNotDelayAnother() {
        for (int count = 0; count < 100; count++) {
            waiting.add(turn(1, "hot", 1, 10, 5));
        }
        for (int count = 0; count < 10; count++) {
            serve();
        }
        WaitingTurn<Integer> other = turn(1, "other", 1, 10, 500);
        waiting.add(other);
        assertTrue(order.order(waiting, NOW).indexOf(other) <= 1);
    }

    @Test
    void deadlinesDecideWithinTeamAndMissedOnesComeLast() {
        WaitingTurn<Integer> missed = turn(1, "a", 1, 10, -5);
        WaitingTurn<Integer> late = turn(1, "a", 1, 10, 500);
        WaitingTurn<Integer> soon = turn(1, "a", 1, 10, 5);
        assertEquals(List.of(soon, late, missed), order.order(List.of(missed, late, soon), NOW));
    }

    /** More urgent requests keep the rest of the service, and less urgent ones an eighth of it. */
    @Test
    void lessUrgentClassIsNotStarvedAndHasNoMoreThanItsPart() {
        int lower = 0;
        for (int round = 0; round < 800; round++) {
            waiting.add(turn(0, "urgent", 1, 10, 50));
            waiting.add(turn(3, "batch", 1, 10, 50));
            lower += serve().rank() == 3 ? 1 : 0;
        }
        assertTrue(lower >= 80 && lower <= 105, lower + " of 800");
    }

    /** The order that is shown is the order in which requests are then served. */
    @Property(tries = 100, seed = "45")
    void orderIsThatInWhichRequestsAreServed(@ForAll long seed) {
        Random random = new Random(seed);
        FairOrder fresh = new FairOrder();
        List<WaitingTurn<Integer>> queue = new ArrayList<>();
        for (int count = 0; count < 40; count++) {
            queue.add(turn(random.nextInt(3), "t" + random.nextInt(5), 1, 1 + random.nextInt(20), random.nextInt(100)));
        }
        List<WaitingTurn<Integer>> expected = fresh.order(queue, NOW);
        List<WaitingTurn<Integer>> served = new ArrayList<>();
        while (!queue.isEmpty()) {
            WaitingTurn<Integer> next = fresh.order(queue, NOW).get(0);
            queue.remove(next);
            fresh.served(next, queue);
            served.add(next);
        }
        assertEquals(expected, served);
        served.sort(Comparator.comparing(WaitingTurn::request));
        assertEquals(40, served.stream().distinct().count());
    }
}
