package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Plays of load with one endpoint in each of three data centres, each of which completes 60 requests a second: guards
 * against shortages that are not relieved, needless crossings, exchanged loads, stampedes and oscillation.
 */
class DataCentreLoadTest {
    private static final List<String> CENTRES = List.of("east", "north", "west");

    /** Objective of the route of the fixture. */
    private static final Duration OBJECTIVE = Duration.ofSeconds(1);

    /** Share of requests that must be answered within the objective. */
    private static final double ON_TIME_SHARE = 0.95;

    /** Share of requests that may cross without a shortage. */
    private static final double NEEDLESS_SHARE = 0.02;

    private static final Duration REACTION = Duration.ofSeconds(1);

    private DataCentreSimulation simulation;

    private void begin(int hostsInEach, double east, double north, double west) {
        simulation = new DataCentreSimulation(CENTRES, hostsInEach, CENTRES, 41);
        simulation.setRate("east", east);
        simulation.setRate("north", north);
        simulation.setRate("west", west);
    }

    private double crossingShare(String from, Instant start) {
        List<DataCentreSimulation.Sent> sent = simulation.sentSince(start).stream()
                .filter(each -> each.from().equals(from))
                .toList();
        return share(sent.stream().filter(each -> !each.to().equals(from)).count(), sent.size());
    }

    private double shareTo(String from, String to, Instant start) {
        List<DataCentreSimulation.Sent> sent = simulation.sentSince(start).stream()
                .filter(each -> each.from().equals(from))
                .toList();
        return share(sent.stream().filter(each -> each.to().equals(to)).count(), sent.size());
    }

    private static double share(long part, int all) {
        return all == 0 ? 0 : (double) part / all;
    }

    private void assertOnTime(Instant start) {
        List<DataCentreSimulation.Outcome> outcomes = simulation.outcomesSince(start);
        long onTime = outcomes.stream()
                .filter(each -> each.answered() && each.waited().compareTo(OBJECTIVE) <= 0)
                .count();
        assertTrue(share(onTime, outcomes.size()) >= ON_TIME_SHARE, onTime + " of " + outcomes.size() + " on time");
    }

    /** At three quarters of the capacity everywhere, nearly nothing leaves. */
    @Test
    void nothingLeavesWithoutAShortage() {
        begin(2, 45, 45, 45);
        Instant start = simulation.now();
        simulation.pass(Duration.ofSeconds(30));
        assertOnTime(start);
        for (String centre : CENTRES) {
            double crossing = crossingShare(centre, start);
            assertTrue(crossing <= NEEDLESS_SHARE, centre + " sends " + crossing);
        }
    }

    /** One data centre gets one and a half times what its endpoint completes, the others have room. */
    @Test
    void shortageIsRelievedByThoseWithRoom() {
        begin(2, 90, 20, 20);
        simulation.pass(REACTION);
        Instant start = simulation.now();
        simulation.pass(Duration.ofSeconds(10));
        assertOnTime(start);
        assertEquals(0, crossingShare("north", start), NEEDLESS_SHARE);
        assertEquals(0, crossingShare("west", start), NEEDLESS_SHARE);
        double toNorth = shareTo("east", "north", start);
        double toWest = shareTo("east", "west", start);
        assertTrue(
                Math.max(toNorth, toWest) <= 2 * Math.min(toNorth, toWest), "to north " + toNorth + ", west " + toWest);
        assertTrue(shareTo("east", "east", start) >= 0.3, "most of the own endpoint is used");
    }

    /** Two data centres are short at once; they send to the third and not to each other. */
    @Test
    void dataCentresThatAreShortDoNotExchangeLoads() {
        begin(2, 75, 75, 10);
        simulation.pass(REACTION);
        Instant start = simulation.now();
        simulation.pass(Duration.ofSeconds(10));
        assertOnTime(start);
        assertEquals(0, shareTo("east", "north", start), NEEDLESS_SHARE);
        assertEquals(0, shareTo("north", "east", start), NEEDLESS_SHARE);
        assertEquals(0, crossingShare("west", start), NEEDLESS_SHARE);
    }

    /** Under a constant shortage, the share stays near its mean. */
    @Test
    void shareDoesNotOscillate() {
        begin(2, 90, 20, 20);
        simulation.pass(Duration.ofSeconds(2));
        List<Double> shares = new ArrayList<>();
        for (int sample = 0; sample < 100; sample++) {
            simulation.pass(Duration.ofMillis(100));
            shares.add(simulation.leavingShare("east"));
        }
        double mean = shares.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
        int crossings = 0;
        for (int sample = 1; sample < shares.size(); sample++) {
            crossings += (shares.get(sample) < mean / 2) != (shares.get(sample - 1) < mean / 2) ? 1 : 0;
        }
        assertTrue(mean > 0 && crossings <= 10, crossings + " changes to below half of the mean in 10 s: " + shares);
    }

    /** A load that comes and goes each second is answered on time, and calm data centres do not send. */
    @Test
    void flappingLoadIsServedOnTime() {
        begin(2, 0, 20, 20);
        Instant start = simulation.now();
        for (int round = 0; round < 6; round++) {
            simulation.setRate("east", 90);
            simulation.pass(Duration.ofSeconds(1));
            simulation.setRate("east", 10);
            simulation.pass(Duration.ofSeconds(1));
        }
        assertOnTime(start);
        assertEquals(0, crossingShare("north", start), NEEDLESS_SHARE);
        assertEquals(0, crossingShare("west", start), NEEDLESS_SHARE);
    }

    /** The own endpoint refuses connections: requests go to both others within a second. */
    @Test
    void requestsOfADeadEndpointAreSpread() {
        begin(2, 30, 20, 20);
        simulation.pass(Duration.ofSeconds(1));
        simulation.stop(simulation.endpoints().get(0));
        Instant stopped = simulation.now();
        simulation.pass(REACTION);
        Instant start = simulation.now();
        simulation.pass(Duration.ofSeconds(5));
        assertOnTime(stopped);
        assertTrue(shareTo("east", "north", start) >= 0.3, "to north " + shareTo("east", "north", start));
        assertTrue(shareTo("east", "west", start) >= 0.3, "to west " + shareTo("east", "west", start));
    }

    /** All hosts and the endpoint of a data centre are lost while another one sends there. */
    @Test
    void lostDataCentreIsLeftToItself() {
        begin(2, 90, 20, 20);
        simulation.pass(Duration.ofSeconds(3));
        simulation.lose("west");
        Instant lost = simulation.now();
        simulation.pass(Duration.ofSeconds(8));
        assertOnTime(lost);
        // Three heartbeats and the allowance for their delay.
        Instant noticed = lost.plusMillis(1500);
        assertEquals(0, shareTo("east", "west", noticed));
        assertTrue(shareTo("east", "north", noticed) > 0.1);
    }

    /**
     * A data centre that is cut off from the messages of others is not sent to, and serves its own callers. The others
     * then use five sixths of what their endpoints complete.
     */
    @Test
    void dataCentreWithoutReportsIsNotUsed() {
        begin(2, 80, 20, 20);
        simulation.pass(Duration.ofSeconds(2));
        simulation.setDelivery((from, to) -> from.equals("west") == to.equals("west"));
        // Three heartbeats and the allowance for their delay.
        simulation.pass(Duration.ofMillis(1500));
        Instant start = simulation.now();
        simulation.pass(Duration.ofSeconds(6));
        assertEquals(0, shareTo("east", "west", start));
        assertEquals(0, crossingShare("west", start));
        assertOnTime(start);
    }

    /** Seventy hosts with the same reports lose their endpoint: none of the others is chosen by all at once. */
    @Test
    void manyHostsDoNotChooseTheSameEndpoint() {
        begin(24, 50, 20, 20);
        simulation.pass(Duration.ofSeconds(1));
        simulation.stop(simulation.endpoints().get(0));
        simulation.pass(REACTION);
        Instant start = simulation.now();
        simulation.pass(Duration.ofSeconds(4));
        assertOnTime(start);
        assertTrue(shareTo("east", "north", start) >= 0.3, "to north " + shareTo("east", "north", start));
        assertTrue(shareTo("east", "west", start) >= 0.3, "to west " + shareTo("east", "west", start));
    }
}
