package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.LoadCounts;
import org.banyanstair.peer.PartEvidence;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.RefusedPart;
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

    /** Guards against refusing the first part, which all requests share, while its requests crash beside others. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16})
    void soundRequestsAreNotRefusedWhenRunnersCrashByThemselves(long seed) {
        begin(6, 6, seed);
        for (int round = 0; round < 20; round++) {
            runTraffic(Duration.ofMillis(500 + random.nextInt(1500)), 20, 0);
            List<EndpointId> runners = simulation.runners();
            simulation.crash(runners.get(random.nextInt(runners.size())));
        }
        simulation.runners().forEach(simulation::crash);
        runTraffic(Duration.ofSeconds(8), 20, 0);
        assertEquals(0, refusals(false), "sound requests refused for their parts");
    }

    @Test
    void hostsThatRestartLearnWhichPartIsRefused() {
        begin(6, 6, 21);
        simulation.addDeadlyPart(DEADLY_PART);
        runTraffic(Duration.ofSeconds(15), 10, 0.06);
        int crashesBefore = simulation.crashes().size();
        simulation.hosts().stream().limit(5).forEach(host -> {
            simulation.restart(host);
            simulation.pass(Duration.ofSeconds(1));
        });
        runTraffic(Duration.ofSeconds(15), 10, 0.06);
        assertEquals(crashesBefore, simulation.crashes().size(), "crashes after the restarts");
    }

    @Test
    void refusalSurvivesARestartOfAllHosts() {
        begin(6, 6, 61);
        simulation.addDeadlyPart(DEADLY_PART);
        runTraffic(Duration.ofSeconds(15), 10, 0.06);
        int crashesBefore = simulation.crashes().size();
        simulation.hosts().forEach(simulation::restart);
        runTraffic(Duration.ofSeconds(15), 10, 0.06);
        assertEquals(crashesBefore, simulation.crashes().size(), "crashes after the restart");
    }

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34})
    void partIsRefusedAlthoughMessagesAreLost(long seed) {
        begin(6, 6, seed);
        Random losses = new Random(seed);
        simulation.setDelivery((from, to) -> losses.nextInt(10) >= 3);
        simulation.addDeadlyPart(DEADLY_PART);
        runTraffic(DAY, 10, 0.06);
        assertDeadlyRequestsStopped();
        assertEquals(0, refusals(false), "sound requests refused for their parts");
    }

    @Test
    void hostThatIsCutOffRefusesNothingAndLearnsThePartAfterwards() {
        begin(6, 6, 41);
        HostId cut = simulation.hosts().get(0);
        simulation.setDelivery((from, to) -> !from.equals(cut) && !to.equals(cut));
        simulation.addDeadlyPart(DEADLY_PART);
        runTraffic(Duration.ofSeconds(15), 10, 0.06);
        simulation.setDelivery((from, to) -> true);
        simulation.pass(Duration.ofSeconds(2));
        int crashesBefore = simulation.crashes().size();
        runTraffic(Duration.ofSeconds(15), 10, 0.06);
        assertEquals(crashesBefore, simulation.crashes().size(), "crashes after the cut");
        assertEquals(0, refusals(false), "sound requests refused for their parts");
    }

    @Test
    void refusalOfAPeerStopsTheRequestsWithoutOutput() {
        HostId peer = new HostId("host-2");
        ReducerFixture fixture = new ReducerFixture();
        fixture.configureEngine(8, ReducerFixture.route("/x/", ReducerFixture.SERVICE, true, false, true));
        fixture.endpoint("runner-1", ReducerFixture.SERVICE, false, 1, "a1");
        ForwardRequest running = fixture.request("/x/1", Optional.of(ReducerFixture.ADAPTER), Duration.ofSeconds(4));
        fixture.apply(new ForwardingEvent.RequestArrived(running));
        fixture.apply(new ForwardingEvent.PeerMessageReceived(
                new HostIdentity(peer, 1),
                new PeerMessage.HostState(
                        new HostAnnouncement(
                                peer,
                                1,
                                NetworkAddress.parse("10.0.0.2:80"),
                                NetworkAddress.parse("10.0.0.2:81"),
                                "east",
                                1),
                        false,
                        true,
                        0,
                        false,
                        false,
                        0,
                        0,
                        0,
                        0,
                        0,
                        0,
                        LoadCounts.NONE,
                        new PartEvidence(List.of(), List.of(new RefusedPart(FIRST_PART, 5_000, 60_000))),
                        List.of(),
                        List.of())));
        List<ForwardingEffect> effects = fixture.pass(Duration.ofMillis(100));
        assertEquals(
                List.of(new ForwardingEffect.Fail(running.exchange(), FailureReason.CRASHES_ENDPOINTS)),
                ReducerFixture.only(effects, ForwardingEffect.Fail.class));
        assertEquals(
                1,
                ReducerFixture.only(effects, ForwardingEffect.CancelAttempt.class)
                        .size());
        ForwardRequest later = fixture.request("/x/1", Optional.of(ReducerFixture.ADAPTER), Duration.ofSeconds(4));
        assertEquals(
                List.of(new ForwardingEffect.Refuse(
                        later.exchange(), RefusalReason.CRASHES_ENDPOINTS, Optional.empty())),
                ReducerFixture.only(
                        fixture.apply(new ForwardingEvent.RequestArrived(later)), ForwardingEffect.Refuse.class));
    }
}
