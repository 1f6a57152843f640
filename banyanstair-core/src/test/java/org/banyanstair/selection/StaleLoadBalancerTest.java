package org.banyanstair.selection;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against hosts that all send to the endpoint that was the least loaded one some time ago. */
class StaleLoadBalancerTest {
    private static ReportedLoad load(int own, int others) {
        return new ReportedLoad(own, others, 6, 100, 0);
    }

    private static double[] shares(long ageMilliseconds, ReportedLoad... loads) {
        return StaleLoadBalancer.shares(List.of(loads), Duration.ofMillis(ageMilliseconds));
    }

    @Test
    void freshReportsLeadToTheLeastLoadedEndpoint() {
        assertArrayEquals(new double[] {0, 1, 0}, shares(0, load(0, 4), load(0, 2), load(1, 2)));
        assertArrayEquals(new double[] {0, 0.5, 0.5}, shares(0, load(0, 4), load(1, 2), load(0, 3)));
    }

    @Test
    void reportsOlderThanRequestsRunLeadToAnEvenChoice() {
        assertArrayEquals(
                new double[] {1.0 / 3, 1.0 / 3, 1.0 / 3}, shares(2000, load(0, 9), load(0, 2), load(0, 4)), 0.01);
    }

    @Test
    void ownRequestsCountWhateverTheAgeOfReports() {
        double[] shares = shares(2000, load(2, 4), load(0, 4));
        assertTrue(shares[1] > shares[0] + 0.1, () -> Arrays.toString(shares));
    }

    @Test
    void slowEndpointIsChosenLessBecauseItsReportedRequestsStillRun() {
        double[] shares = StaleLoadBalancer.shares(
                List.of(new ReportedLoad(0, 8, 6, 300, 0), load(0, 4)), Duration.ofMillis(200));
        assertTrue(shares[0] < 0.5 * shares[1], () -> Arrays.toString(shares));
    }

    /** A failing endpoint is used if the others are full, not before. */
    @Test
    void handicapDelaysTheUseOfAnEndpoint() {
        ReportedLoad handicapped = new ReportedLoad(0, 0, 6, 100, 1.5);
        assertEquals(0, shares(50, handicapped, load(0, 5))[0]);
        assertTrue(shares(50, handicapped, load(0, 14))[0] > 0);
    }

    @Test
    void sharesAreProbabilitiesAndFavourTheLessLoadedOfEqualEndpoints() {
        Random random = new Random(11);
        for (int round = 0; round < 2000; round++) {
            ReportedLoad[] loads = new ReportedLoad[1 + random.nextInt(6)];
            for (int index = 0; index < loads.length; index++) {
                loads[index] = load(random.nextInt(3), random.nextInt(12));
            }
            double[] shares = shares(random.nextInt(500), loads);
            assertEquals(1, Arrays.stream(shares).sum(), 1e-9);
            for (int left = 0; left < loads.length; left++) {
                assertTrue(shares[left] >= 0);
                for (int right = 0; right < loads.length; right++) {
                    boolean less =
                            loads[left].own() <= loads[right].own() && loads[left].others() <= loads[right].others();
                    assertTrue(!less || shares[left] >= shares[right] - 1e-9, Arrays.toString(loads));
                }
            }
        }
    }

    /** Without a random part, all seventy would choose the first one. */
    @Test
    void hostsWithTheSameReportChooseDifferently() {
        List<ReportedLoad> loads = List.of(load(0, 3), load(0, 6), load(0, 5), load(0, 6));
        List<StaleLoadBalancer> hosts = new ArrayList<>();
        for (int host = 0; host < 70; host++) {
            hosts.add(new StaleLoadBalancer(("host-" + host).hashCode()));
        }
        int[] chosen = new int[loads.size()];
        hosts.forEach(host -> chosen[host.choose(loads, Duration.ofMillis(200))]++);
        assertTrue(Arrays.stream(chosen).max().orElseThrow() <= 2 * 70 / loads.size(), Arrays.toString(chosen));
    }
}
