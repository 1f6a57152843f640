package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.banyanstair.model.EndpointId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that go to failing or slow endpoints whose registry entries look good. */
class UnevenEndpointTest {
    /** Share of failed requests of all hosts, 2 s after one of four endpoints has begun to fail. */
    private static final double MAXIMUM_FAILED_SHARE = 0.1;

    private static final Duration REACTION = Duration.ofSeconds(2);

    private static final Duration RECOVERY = Duration.ofSeconds(3);

    private DataCentreSimulation simulation;

    private void begin(List<String> centres, List<String> endpointsIn, double eachRate) {
        simulation = new DataCentreSimulation(centres, 2, endpointsIn, 43);
        centres.forEach(centre -> simulation.setRate(centre, eachRate));
        simulation.pass(Duration.ofSeconds(2));
    }

    private double sentShare(EndpointId endpoint, Instant start) {
        List<DataCentreSimulation.Sent> sent = simulation.sentSince(start);
        return (double) sent.stream()
                        .filter(each -> each.endpoint().equals(endpoint))
                        .count()
                / sent.size();
    }

    private double failedShare(Instant start) {
        List<DataCentreSimulation.Sent> sent = simulation.sentSince(start);
        return (double) sent.stream().filter(DataCentreSimulation.Sent::failed).count() / sent.size();
    }

    private static List<String> placement(boolean oneCentre) {
        return oneCentre ? List.of("east", "east", "east", "east") : List.of("east", "north", "west", "south");
    }

    /** An endpoint fails 45% of its requests, beside others in its data centre or as the only one there. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void failingEndpointIsLeftToOthersAndComesBack(boolean oneCentre) {
        begin(oneCentre ? List.of("east") : placement(false), placement(oneCentre), oneCentre ? 100 : 25);
        EndpointId failing = simulation.endpoints().get(0);
        simulation.setFailureShare(failing, 0.45);
        simulation.pass(REACTION);
        Instant start = simulation.now();
        simulation.pass(Duration.ofSeconds(6));
        double failed = failedShare(start);
        assertTrue(failed < MAXIMUM_FAILED_SHARE, failed + " of the attempts failed");
        assertTrue(sentShare(failing, start) < 0.125, "less than half of its part: " + sentShare(failing, start));
        simulation.setFailureShare(failing, 0);
        simulation.pass(RECOVERY);
        Instant recovered = simulation.now();
        simulation.pass(Duration.ofSeconds(4));
        double share = sentShare(failing, recovered);
        assertTrue(share >= 0.125, "at least half of its part after its recovery: " + share);
    }

    /** All endpoints fail alike: none is left out, and the load stays even. */
    @Test
    void commonFailuresDoNotConcentrateTheLoad() {
        begin(List.of("east"), placement(true), 43);
        simulation.endpoints().forEach(endpoint -> simulation.setFailureShare(endpoint, 0.45));
        simulation.pass(REACTION);
        Instant start = simulation.now();
        simulation.pass(Duration.ofSeconds(10));
        for (EndpointId endpoint : simulation.endpoints()) {
            double share = sentShare(endpoint, start);
            assertTrue(share > 0.125 && share < 0.5, endpoint + " has " + share);
        }
    }

    /** An endpoint 2.5 times slower than the others gets less, in proportion to its speed, but some. */
    @Test
    void slowEndpointGetsLess() {
        begin(List.of("east"), placement(true), 43);
        EndpointId slow = simulation.endpoints().get(0);
        simulation.setServiceTime(slow, 250);
        simulation.pass(REACTION);
        Instant start = simulation.now();
        simulation.pass(Duration.ofSeconds(10));
        // Its part by speed is 0.4 of 3.4, against a quarter without regard to speed.
        double share = sentShare(slow, start);
        assertTrue(share > 0.01 && share <= 0.4 / 3.4 * 1.25, "slow endpoint has " + share);
    }

    /**
     * Seventy hosts whose reports of each other's requests pass relays use half of the slots of four endpoints: they do
     * not choose the same one. Before, the busiest had 1.86 times the mean load.
     */
    @Test
    void manyHostsWithStaleReportsSpreadTheirRequests() {
        simulation = new DataCentreSimulation(List.of("east"), 70, placement(true), 43);
        simulation.setRate("east", 120);
        simulation.pass(REACTION);
        Duration serviceTime = Duration.ofMillis(100);
        double sum = 0;
        int windows = 0;
        for (; windows < 100; windows++) {
            Instant start = simulation.now().plusNanos(1);
            simulation.pass(serviceTime);
            List<DataCentreSimulation.Sent> sent = simulation.sentSince(start);
            long busiest = simulation.endpoints().stream()
                    .mapToLong(endpoint -> sent.stream()
                            .filter(each -> each.endpoint().equals(endpoint))
                            .count())
                    .max()
                    .orElseThrow();
            sum += sent.isEmpty()
                    ? 1
                    : (double) busiest * simulation.endpoints().size() / sent.size();
        }
        double ratio = sum / windows;
        assertTrue(ratio < 1.86, "the busiest endpoint gets " + ratio + " times the mean");
    }
}
