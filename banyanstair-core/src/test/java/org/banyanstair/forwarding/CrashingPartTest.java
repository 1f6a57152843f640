package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;

import org.banyanstair.model.HostId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Requests, no two alike, whose prompts share a part that crashes each runner that produces output for it. */
class CrashingPartTest {
    private static final long FIRST_PART = 1;

    private static final long DEADLY_PART = 666;

    private static final int SUBJECTS = 20;

    /** Crashes of which the platform knows that they have one cause. */
    private static final int MAXIMUM_CRASHES = 5;

    /** Time within which all hosts in touch have to act on the last of these crashes. */
    private static final Duration CONTACT_LIMIT = Duration.ofSeconds(3);

    /** Requests with the part that may reach runners after that. */
    private static final int MAXIMUM_LATE_ARRIVALS = 3;

    private static final Duration DAY = Duration.ofSeconds(30);

    private FleetSimulation simulation;
    private Random random;

    private void begin(int hosts, int runners, long seed) {
        simulation = new FleetSimulation(hosts, runners, seed);
        random = new Random(seed * 31);
        simulation.pass(Duration.ofSeconds(1));
    }

    /** Sends sound requests, and in some of their prompts a deadly part after the shared ones. */
    private void runTraffic(Duration time, double requestsPerSecond, double deadlyShare) {
        Instant end = simulation.now().plus(time);
        while (simulation.now().isBefore(end)) {
            simulation.step();
            if (random.nextDouble() < requestsPerSecond * FleetSimulation.STEP.toMillis() / 1000.0) {
                List<HostId> hosts = simulation.hosts();
                HostId host = hosts.get(random.nextInt(hosts.size()));
                // The square favours low numbers, so that a few subjects have most of the requests.
                double point = random.nextDouble();
                long subject = 100 + (long) (point * point * SUBJECTS);
                if (random.nextDouble() < deadlyShare) {
                    simulation.send(host, FIRST_PART, 100, DEADLY_PART);
                } else {
                    simulation.send(host, FIRST_PART, subject);
                }
            }
        }
    }

    private static boolean isDeadly(ForwardRequest request) {
        return request.prompt().stream().anyMatch(part -> part.id() == DEADLY_PART);
    }

    private void assertDeadlyRequestsStopped() {
        assertTrue(
                simulation.crashes().size() >= MAXIMUM_CRASHES || refusals(true) > 0,
                "the part crashes runners and is noticed");
        if (simulation.crashes().size() >= MAXIMUM_CRASHES) {
            Instant limit = simulation.crashes().get(MAXIMUM_CRASHES - 1).plus(CONTACT_LIMIT);
            long arrivals = simulation.arrivals().stream()
                    .filter(arrival -> arrival.at().isAfter(limit) && isDeadly(arrival.request()))
                    .count();
            assertTrue(
                    arrivals <= MAXIMUM_LATE_ARRIVALS,
                    arrivals + " requests with the part reached runners, "
                            + simulation.crashes().size() + " crashed");
        }
    }

    private long refusals(boolean deadly) {
        return simulation.outcomes().stream()
                .filter(outcome -> isDeadly(outcome.request()) == deadly
                        && outcome.refusal()
                                .filter(RefusalReason.CRASHES_ENDPOINTS::equals)
                                .isPresent())
                .count();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void requestsWithPartThatCrashesRunnersAreRefused(long seed) {
        begin(6, 6, seed);
        simulation.addDeadlyPart(DEADLY_PART);
        runTraffic(DAY, 10, 0.06);
        assertDeadlyRequestsStopped();
        assertEquals(0, refusals(false), "sound requests refused for their parts");
    }

    @Test
    void requestsWithPartThatCrashesRunnersAreRefusedInLargeDeployment() {
        begin(40, 30, 9);
        simulation.addDeadlyPart(DEADLY_PART);
        runTraffic(DAY, 40, 0.05);
        assertDeadlyRequestsStopped();
        assertEquals(0, refusals(false), "sound requests refused for their parts");
    }
}
