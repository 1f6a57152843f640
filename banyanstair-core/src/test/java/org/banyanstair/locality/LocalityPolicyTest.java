package org.banyanstair.locality;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against data centres that exchange their loads, divert to a full or silent one, or oscillate. */
class LocalityPolicyTest {
    private static final Duration OBJECTIVE = Duration.ofSeconds(1);

    private static final Duration INTERVAL = Duration.ofMillis(50);

    private static final double CAPACITY = 6;

    private Instant now = Instant.ofEpochSecond(100);

    private static DataCentreLoad load(int number, double demand, boolean current) {
        // The start of a plain request grows with the utilization, here by a quarter of the objective for each.
        return new DataCentreLoad(
                "centre-" + number,
                OptionalDouble.of(demand / CAPACITY * OBJECTIVE.toMillis() / 4),
                demand,
                CAPACITY,
                current);
    }

    private static LocalityPolicy policy(int number) {
        return new LocalityPolicy("centre-" + number, LocalitySettings.ENABLED);
    }

    private void update(LocalityPolicy policy, List<DataCentreLoad> loads, Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(INTERVAL);
            policy.update(loads, OBJECTIVE, now);
        }
    }

    private static List<String> destinations(LocalityPolicy policy) {
        List<String> result = new ArrayList<>();
        for (double point = 0; point < 1; point += 0.01) {
            policy.destination(point).filter(name -> !result.contains(name)).ifPresent(result::add);
        }
        return result;
    }

    /** With the same knowledge, no data centre sends to one that sends too, and no more arrives than there is room. */
    @Property(tries = 300)
    void loadsAreNotExchanged(@ForAll @Size(min = 2, max = 5) List<@DoubleRange(max = 60) Double> demands) {
        List<DataCentreLoad> loads = new ArrayList<>();
        for (int number = 0; number < demands.size(); number++) {
            loads.add(load(number, demands.get(number), true));
        }
        Map<String, Double> sending = new TreeMap<>();
        Map<String, List<String>> receiving = new TreeMap<>();
        double moved = 0;
        for (int number = 0; number < demands.size(); number++) {
            LocalityPolicy policy = policy(number);
            update(policy, loads, Duration.ofSeconds(3));
            assertTrue(policy.share() >= 0 && policy.share() <= 1, "share " + policy.share());
            if (policy.share() > 0) {
                sending.put("centre-" + number, policy.share());
                receiving.put("centre-" + number, destinations(policy));
                moved += policy.share() * demands.get(number);
            }
        }
        receiving.forEach((from, to) -> to.forEach(name ->
                assertFalse(sending.containsKey(name), from + " sends to " + name + ", which sends: " + loads)));
        double total = demands.stream().mapToDouble(Double::doubleValue).sum();
        double room = demands.stream()
                .mapToDouble(demand -> Math.max(0, total / demands.size() - demand))
                .sum();
        assertTrue(moved <= room + 1e-6, moved + " requests for room of " + room);
    }

    /** A data centre without recent reports may be lost, cut off or full. */
    @Property(tries = 200)
    void silentDataCentreGetsNothing(
            @ForAll @DoubleRange(max = 60) double home, @ForAll @DoubleRange(max = 60) double other) {
        LocalityPolicy policy = policy(0);
        update(policy, List.of(load(0, home, true), load(1, other, false)), Duration.ofSeconds(2));
        assertEquals(0, policy.share());
        assertEquals(List.of(), destinations(policy));
    }

    /** A shortage is relieved within a second, and what is left of it ends as quickly. */
    @Test
    void shareFollowsAShortageWithinASecond() {
        LocalityPolicy policy = policy(0);
        List<DataCentreLoad> calm = List.of(load(0, 3, true), load(1, 1, true), load(2, 1, true));
        update(policy, calm, Duration.ofSeconds(2));
        assertEquals(0, policy.share());
        update(policy, List.of(load(0, 18, true), load(1, 1, true), load(2, 1, true)), Duration.ofSeconds(1));
        assertTrue(policy.share() > 0.5, "share " + policy.share());
        update(policy, calm, Duration.ofSeconds(1));
        assertEquals(0, policy.share());
    }

    /** Between the thresholds the share stays, so that small changes of load do not move it. */
    @Test
    void shareStaysBetweenTheThresholds() {
        LocalityPolicy policy = policy(0);
        update(policy, List.of(load(0, 12, true), load(1, 0, true)), Duration.ofMillis(600));
        double before = policy.share();
        assertTrue(before > 0, "share " + before);
        DataCentreLoad between = new DataCentreLoad("centre-0", OptionalDouble.of(150), 12, CAPACITY, true);
        update(policy, List.of(between, load(1, 0, true)), Duration.ofMillis(600));
        double settled = policy.share();
        update(policy, List.of(between, load(1, 0, true)), Duration.ofSeconds(3));
        assertEquals(settled, policy.share());
    }

    /** What was known before a standstill says nothing about now. */
    @Test
    void shareEndsWithAStandstill() {
        LocalityPolicy policy = policy(0);
        List<DataCentreLoad> loads = List.of(load(0, 18, true), load(1, 1, true));
        update(policy, loads, Duration.ofSeconds(1));
        assertTrue(policy.share() > 0);
        now = now.plusSeconds(3);
        policy.update(loads, OBJECTIVE, now);
        assertEquals(0, policy.share());
    }

    /** The only endpoint at home is gone: all leave at once, to each of the others in proportion to its room. */
    @Test
    void allLeaveAtOnceWithoutAnEndpointAtHome() {
        LocalityPolicy policy = policy(0);
        DataCentreLoad home = new DataCentreLoad("centre-0", OptionalDouble.empty(), 6, 0, true);
        policy.update(List.of(home, load(1, 1, true), load(2, 1, true)), OBJECTIVE, now);
        assertEquals(1, policy.share());
        assertEquals(List.of("centre-1", "centre-2"), destinations(policy));
    }
}
