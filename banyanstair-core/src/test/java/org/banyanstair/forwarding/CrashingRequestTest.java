package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.banyanstair.external.Topic;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.LoadCounts;
import org.banyanstair.peer.PartEvidence;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.ReportedCrash;
import org.banyanstair.peer.ReportedRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A request that crashes each endpoint that runs it, and that is sent again and again at any host. */
class CrashingRequestTest {
    private static final long DEADLY_REQUEST = 666;

    private static final int HOSTS = 6;

    private static final int ENDPOINTS = 8;

    /** Crashes after which the platform expects that the request is no longer run. */
    private static final int MAXIMUM_CRASHES = 3;

    /** Time within which all hosts have to act on the last of these crashes. */
    private static final Duration CONTACT_LIMIT = Duration.ofSeconds(3);

    /** Runs that are tolerated after that. */
    private static final int MAXIMUM_LATE_ARRIVALS = 3;

    private static final Duration REPETITION_INTERVAL = Duration.ofMillis(700);

    private static final Duration DAY = Duration.ofSeconds(28);

    private FleetSimulation simulation;
    private Random random;
    private String path;
    private long fingerprints;

    private void begin(String requestPath, long seed) {
        begin(HOSTS, requestPath, seed);
    }

    private void begin(int hosts, String requestPath, long seed) {
        begin(new FleetSimulation(hosts, ENDPOINTS, seed), requestPath, seed);
    }

    private void begin(FleetSimulation fleet, String requestPath, long seed) {
        simulation = fleet;
        random = new Random(seed * 31);
        path = requestPath;
        fingerprints = 1000;
        simulation.addDeadlyRequest(DEADLY_REQUEST);
        simulation.pass(Duration.ofSeconds(1));
    }

    private HostId anyHost() {
        List<HostId> hosts = simulation.hosts();
        return hosts.get(random.nextInt(hosts.size()));
    }

    /** Sends the deadly request repeatedly, and sound ones on the same path beside it. */
    private void runTraffic(Duration time) {
        Instant end = simulation.now().plus(time);
        Instant next = simulation.now();
        while (simulation.now().isBefore(end)) {
            simulation.step();
            if (!simulation.now().isBefore(next)) {
                next = next.plus(REPETITION_INTERVAL);
                simulation.send(anyHost(), path, DEADLY_REQUEST);
            }
            if (random.nextInt(5) == 0) {
                simulation.send(anyHost(), path, ++fingerprints);
            }
        }
    }

    private void assertDeadlyRequestStopped() {
        List<Instant> crashes = simulation.crashes();
        assertTrue(crashes.size() >= MAXIMUM_CRASHES, "the request crashes endpoints");
        Instant limit = crashes.get(MAXIMUM_CRASHES - 1).plus(CONTACT_LIMIT);
        long late = simulation.arrivals().stream()
                .filter(arrival -> arrival.request().fingerprint() == DEADLY_REQUEST
                        && arrival.at().isAfter(limit))
                .count();
        assertTrue(late <= MAXIMUM_LATE_ARRIVALS, late + " late runs, " + crashes.size() + " crashes");
        assertEquals(0, refusals(false), "sound requests refused");
    }

    private long refusals(boolean deadly) {
        return simulation.outcomes().stream()
                .filter(outcome -> (outcome.request().fingerprint() == DEADLY_REQUEST) == deadly
                        && outcome.refusal()
                                .filter(RefusalReason.CRASHES_ENDPOINTS::equals)
                                .isPresent())
                .count();
    }

    @ParameterizedTest
    @ValueSource(strings = {FleetSimulation.SAFE_PATH, FleetSimulation.STREAM_PATH})
    void repeatedRequestThatCrashesEndpointsIsRefused(String requestPath) {
        begin(requestPath, 1);
        runTraffic(DAY);
        assertDeadlyRequestStopped();
    }

    @Test
    void repeatedRequestThatCrashesEndpointsIsRefusedInLargeDeployment() {
        begin(new FleetSimulation(40, 30, 34), FleetSimulation.SAFE_PATH, 34);
        runTraffic(DAY);
        assertDeadlyRequestStopped();
    }

    @ParameterizedTest
    @ValueSource(strings = {FleetSimulation.SAFE_PATH, FleetSimulation.STREAM_PATH})
    void refusalOfARequestSurvivesARestartOfAllHosts(String requestPath) {
        begin(requestPath, 2);
        for (int round = 0; round < 3; round++) {
            runTraffic(DAY.dividedBy(4));
            simulation.hosts().forEach(simulation::restart);
        }
        runTraffic(DAY.dividedBy(4));
        assertDeadlyRequestStopped();
    }

    @ParameterizedTest
    @ValueSource(strings = {FleetSimulation.SAFE_PATH, FleetSimulation.STREAM_PATH})
    void hostsThatRestartInTurnLearnWhichRequestIsRefused(String requestPath) {
        begin(requestPath, 3);
        for (int round = 0; round < 10; round++) {
            runTraffic(Duration.ofSeconds(3));
            simulation.restart(simulation.hosts().get(round % HOSTS));
        }
        assertDeadlyRequestStopped();
    }

    @ParameterizedTest
    @ValueSource(longs = {4, 5, 6, 7})
    void reportOfACrashThatIsLostIsSentAgain(long seed) {
        begin(FleetSimulation.SAFE_PATH, seed);
        Random losses = new Random(seed);
        simulation.setDelivery((from, to) -> losses.nextInt(10) >= 8);
        runTraffic(DAY);
        assertDeadlyRequestStopped();
    }

    /** Guards against hosts that know of one crash each, which heartbeats do not carry. */
    @Test
    void reportOfASingleCrashThatIsLostIsSentAgain() {
        begin(12, FleetSimulation.ONCE_PATH, 18);
        Duration outage = Duration.ofMillis(900);
        simulation.setDelivery((from, to) ->
                simulation.crashes().stream().noneMatch(at -> simulation.now().isBefore(at.plus(outage))));
        for (int count = 0; count < 24; count++) {
            simulation.send(simulation.hosts().get(count % 12), path, DEADLY_REQUEST);
            simulation.pass(Duration.ofMillis(1200));
        }
        assertDeadlyRequestStopped();
    }

    @ParameterizedTest
    @ValueSource(longs = {14, 15, 16, 17})
    void hostsWithoutAPathBetweenThemLearnOfCrashesThroughOthers(long seed) {
        begin(FleetSimulation.SAFE_PATH, seed);
        List<HostId> hosts = simulation.hosts();
        simulation.setDelivery((from, to) -> Math.floorMod(hosts.indexOf(from) - hosts.indexOf(to), HOSTS) % 5 <= 1);
        runTraffic(DAY);
        assertDeadlyRequestStopped();
    }

    @ParameterizedTest
    @ValueSource(longs = {8, 9})
    void hostThatWasCutOffLearnsWhichRequestIsRefused(long seed) {
        begin(FleetSimulation.SAFE_PATH, seed);
        HostId cut = simulation.hosts().get(0);
        simulation.setDelivery((from, to) -> !from.equals(cut) && !to.equals(cut));
        runTraffic(Duration.ofSeconds(10));
        simulation.setDelivery((from, to) -> true);
        simulation.pass(Duration.ofSeconds(2));
        int crashesBefore = simulation.crashes().size();
        runTraffic(Duration.ofSeconds(10));
        assertEquals(crashesBefore, simulation.crashes().size(), "crashes after the cut");
        assertEquals(0, refusals(false), "sound requests refused");
    }

    @ParameterizedTest
    @ValueSource(longs = {10, 11, 12})
    void requestThatIsAnsweredBeforeItsEndpointCrashesIsRefused(long seed) {
        begin(FleetSimulation.SAFE_PATH, seed);
        simulation.setAnswersBeforeCrash();
        runTraffic(DAY);
        assertDeadlyRequestStopped();
    }

    @ParameterizedTest
    @ValueSource(strings = {FleetSimulation.SAFE_PATH, FleetSimulation.STREAM_PATH})
    void requestWhoseCallerLeavesBeforeTheCrashIsRefused(String requestPath) {
        begin(requestPath, 19);
        simulation.setCallersOfDeadlyRequestsLeave(Duration.ofMillis(200));
        runTraffic(DAY);
        assertDeadlyRequestStopped();
    }

    /** Guards against refusing a request of which copies are on each endpoint, also on those that another one crashes. */
    @ParameterizedTest
    @ValueSource(longs = {28, 29, 30, 31, 32, 33})
    void popularRequestIsNotRefusedForTheCrashesOfAnother(long seed) {
        long popular = 42;
        begin(new FleetSimulation(3, 3, seed), FleetSimulation.STREAM_PATH, seed);
        Instant next = simulation.now();
        Instant end = simulation.now().plus(DAY);
        while (simulation.now().isBefore(end)) {
            simulation.step();
            if (!simulation.now().isBefore(next)) {
                next = next.plus(REPETITION_INTERVAL);
                simulation.send(anyHost(), path, DEADLY_REQUEST);
            }
            if (random.nextInt(4) == 0) {
                simulation.send(anyHost(), path, popular);
            }
        }
        assertDeadlyRequestStopped();
    }

    /** Guards against a second attempt while the crash of the first is not confirmed yet. */
    @ParameterizedTest
    @ValueSource(strings = {FleetSimulation.SAFE_PATH, FleetSimulation.STREAM_PATH})
    void requestIsNotSentAgainIfItsAttemptMayHaveCausedTheLastToleratedCrash(String requestPath) {
        begin(requestPath, 24);
        runTraffic(DAY);
        assertEquals(MAXIMUM_CRASHES, simulation.crashes().size());
    }

    @Test
    void copiesThatWaitOrHaveNoOutputEndWhenTheRequestIsRefused() {
        ReducerFixture fixture = new ReducerFixture();
        fixture.configureEngine(8, ReducerFixture.route("/x/", ReducerFixture.SERVICE, true, false, true));
        EndpointId runner = new EndpointId("runner-1");
        fixture.endpoint(runner.value(), ReducerFixture.SERVICE, false, 1, "a1");
        fixture.publish(
                Topic.CLAIMS, runner.value(), new DecodedRecord.RunnerClaimed(runner, ReducerFixture.HOST, true, 0));
        fixture.pass(Duration.ofMillis(200));
        List<LoadedAdapter> loaded = List.of(new LoadedAdapter(ReducerFixture.ADAPTER, 1));
        fixture.apply(new ForwardingEvent.Inspected(
                runner, Optional.of(new RunnerState(0, false, Set.of("base"), loaded, List.of()))));
        AdapterName notLoaded = new AdapterName("base", "a2");
        ForwardRequest running = fixture.request("/x/1", Optional.of(ReducerFixture.ADAPTER), Duration.ofSeconds(4));
        ForwardRequest waiting = fixture.request("/x/1", Optional.of(notLoaded), Duration.ofSeconds(4));
        fixture.apply(new ForwardingEvent.RequestArrived(running));
        fixture.apply(new ForwardingEvent.RequestArrived(waiting));
        List<ReportedCrash> crashes = IntStream.range(0, MAXIMUM_CRASHES)
                .mapToObj(number -> new ReportedCrash(new EndpointId("gone-" + number), 1, 1000 + 500 * number, false))
                .toList();
        HostId peer = new HostId("host-2");
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
                        PartEvidence.NONE,
                        List.of(new ReportedRequest(running.fingerprint(), true, crashes)),
                        List.of())));
        List<ForwardingEffect> effects = fixture.pass(Duration.ofMillis(500));
        assertEquals(
                List.of(new ForwardingEffect.Fail(running.exchange(), FailureReason.CRASHES_ENDPOINTS)),
                ReducerFixture.only(effects, ForwardingEffect.Fail.class));
        assertEquals(
                List.of(new ForwardingEffect.Refuse(
                        waiting.exchange(), RefusalReason.CRASHES_ENDPOINTS, Optional.empty())),
                ReducerFixture.only(effects, ForwardingEffect.Refuse.class));
    }

    /** Guards against requests that are refused after they were sent to one endpoint after the other that is down. */
    @ParameterizedTest
    @ValueSource(longs = {25, 26, 27})
    void soundRequestsAreServedByTheEndpointsThatAreLeft(long seed) {
        begin(FleetSimulation.SAFE_PATH, seed);
        for (int round = 0; round < 8; round++) {
            simulation.runners().stream().limit(ENDPOINTS).forEach(simulation::crash);
            for (int count = 0; count < 30; count++) {
                simulation.send(anyHost(), path, ++fingerprints);
                simulation.pass(Duration.ofMillis(40));
            }
            simulation.pass(Duration.ofSeconds(3));
        }
        assertEquals(
                List.of(),
                simulation.outcomes().stream()
                        .filter(outcome -> !outcome.answered())
                        .toList());
    }

    @Test
    void requestsAreNotSentToAnEndpointWhoseCrashAPeerHasReported() {
        ReducerFixture fixture = new ReducerFixture();
        fixture.configure(1, ReducerFixture.route("/safe/", ReducerFixture.PLAIN_SERVICE, false, true, false));
        fixture.endpoint("plain-1", ReducerFixture.PLAIN_SERVICE, false, 1);
        fixture.endpoint("plain-2", ReducerFixture.PLAIN_SERVICE, false, 1);
        EndpointId crashed = new EndpointId("plain-1");
        fixture.apply(new ForwardingEvent.PeerMessageReceived(
                new HostIdentity(new HostId("host-2"), 1),
                new PeerMessage.CrashReport(9, crashed, 1, List.of(), 20, List.of())));
        Set<EndpointId> used = new HashSet<>();
        for (int count = 0; count < 6; count++) {
            ForwardRequest request = fixture.request("/safe/1", Optional.empty(), Duration.ofSeconds(4));
            ReducerFixture.only(fixture.apply(new ForwardingEvent.RequestArrived(request)), ForwardingEffect.Send.class)
                    .forEach(send -> used.add(send.endpoint()));
        }
        assertEquals(Set.of(new EndpointId("plain-2")), used);
    }

    /** Copies that come from another address each share a wider fingerprint only. */
    @ParameterizedTest
    @ValueSource(strings = {FleetSimulation.SAFE_PATH, FleetSimulation.STREAM_PATH})
    void requestWhoseCallerChangesItsAddressIsRefused(String requestPath) {
        begin(requestPath, 20);
        long shared = 5;
        simulation.addDeadlyRequest(shared);
        for (int count = 0; count < 40; count++) {
            simulation.send(anyHost(), path, ++fingerprints, shared);
            simulation.pass(REPETITION_INTERVAL.dividedBy(2));
            simulation.send(anyHost(), path, ++fingerprints, 6L);
            simulation.pass(REPETITION_INTERVAL.dividedBy(2));
        }
        Instant limit = simulation.crashes().get(MAXIMUM_CRASHES - 1).plus(CONTACT_LIMIT);
        long late = simulation.arrivals().stream()
                .filter(arrival -> arrival.request().widerFingerprints().contains(shared)
                        && arrival.at().isAfter(limit))
                .count();
        assertTrue(late <= MAXIMUM_LATE_ARRIVALS, late + " late runs");
        boolean soundRefused = simulation.outcomes().stream()
                .filter(outcome -> outcome.request().widerFingerprints().contains(6L))
                .anyMatch(outcome -> outcome.refusal()
                        .filter(RefusalReason.CRASHES_ENDPOINTS::equals)
                        .isPresent());
        assertFalse(soundRefused, "sound requests refused");
    }

    /** Requests without a body that differ in their prompts share a wider fingerprint with the deadly one. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23})
    void soundRequestsThatShareAWiderFingerprintAreServed(long seed) {
        begin(FleetSimulation.SAFE_PATH, seed);
        long shared = 5;
        Instant next = simulation.now();
        Instant end = simulation.now().plus(DAY);
        while (simulation.now().isBefore(end)) {
            simulation.step();
            if (!simulation.now().isBefore(next)) {
                next = next.plus(REPETITION_INTERVAL);
                simulation.send(anyHost(), path, DEADLY_REQUEST, shared);
            }
            if (random.nextInt(20) == 0) {
                simulation.send(anyHost(), path, ++fingerprints, shared);
            }
        }
        assertDeadlyRequestStopped();
    }

    @ParameterizedTest
    @ValueSource(strings = {FleetSimulation.SAFE_PATH, FleetSimulation.STREAM_PATH})
    void requestThatIsSentAgainUnchangedIsNotRefusedWhenEndpointsCrashByThemselves(String requestPath) {
        begin(requestPath, 13);
        List<EndpointId> endpoints = simulation.runners();
        for (int round = 0; round < 20; round++) {
            for (int step = 0; step < 30; step++) {
                simulation.send(anyHost(), path, 42 + step % 2);
                simulation.pass(Duration.ofMillis(40));
            }
            simulation.crash(endpoints.get(random.nextInt(endpoints.size())));
            simulation.crash(endpoints.get(random.nextInt(endpoints.size())));
        }
        endpoints.forEach(simulation::crash);
        runTraffic(Duration.ofSeconds(8));
        assertEquals(0, refusals(false), "sound requests refused");
    }
}
