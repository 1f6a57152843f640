package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.RelayedRecord;
import org.banyanstair.teams.TeamTable;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against wrong decisions about endpoints, claims and versions after the log was restored from a copy. */
class RestoredLogKnowledgeTest {
    private static final String ID = "desk-1";

    private static final HostIdentity PEER = new HostIdentity(new HostId("host-2"), 1);

    private final ReducerFixture fixture = new ReducerFixture();

    RestoredLogKnowledgeTest() {
        fixture.configure(1, ReducerFixture.route("/look/", ReducerFixture.PLAIN_SERVICE, false, true, false));
        fixture.endpoint(ID, ReducerFixture.PLAIN_SERVICE, false, 7);
    }

    private static Map<String, DecodedRecord> copy() {
        return Map.of(
                ID,
                new DecodedRecord.EndpointListed(
                        ReducerFixture.listing("east", ID, ReducerFixture.PLAIN_SERVICE, false, 7, List.of())));
    }

    private Optional<EndpointId> selected() {
        List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.RequestArrived(
                fixture.request("/look/1", Optional.empty(), Duration.ofSeconds(1))));
        return ReducerFixture.only(effects, ForwardingEffect.Send.class).stream()
                .map(ForwardingEffect.Send::endpoint)
                .findFirst();
    }

    private void receiveEndedEndpoints() {
        long offset = fixture.nextOffset();
        RelayedRecord entry = new RelayedRecord("desk-9", new byte[] {1}, false, offset);
        fixture.apply(new ForwardingEvent.PeerMessageReceived(
                PEER,
                new PeerMessage.RecordsReply(
                        Topic.ENDPOINTS,
                        offset,
                        0,
                        List.of(entry),
                        offset + 1,
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        Optional.empty())));
    }

    /** An earlier release, or a host that has not noticed the restore, relays what it read in the ended era. */
    @Test
    void relayOfAnEndedEraDoesNotEndTheTimeInWhichEndpointsWriteAgain() {
        fixture.apply(new ForwardingEvent.LogEraObserved(1));
        receiveEndedEndpoints();
        fixture.restore(Topic.ENDPOINTS, Map.of());
        assertEquals(Optional.of(new EndpointId(ID)), selected());
    }

    @Test
    void removedEndpointIsNotUsedAfterASecondRestore() {
        fixture.removed(Topic.ENDPOINTS, ID);
        fixture.pass(Duration.ofSeconds(1));
        fixture.restore(Topic.ENDPOINTS, copy());
        assertEquals(Optional.empty(), selected());
        fixture.restore(Topic.ENDPOINTS, copy());
        assertEquals(Optional.empty(), selected());
    }

    /** The claims of an earlier release name no era; without a peer's word one may be of an earlier era. */
    @Test
    void restartedHostGoesOnAtOnceUnderItsClaimOfAnEarlierRelease() {
        LeaseManager leases = new LeaseManager(ReducerFixture.HOST, Duration.ofSeconds(3), false);
        EndpointId runner = new EndpointId("runner-1");
        leases.beginEra(1, false, fixture.now());
        leases.eraKnownByPeer(1, true, false);
        leases.confirm(fixture.now());
        leases.applyClaim(
                new DecodedRecord.RunnerClaimed(runner, ReducerFixture.HOST, true, 0),
                new LogPosition(1, 5),
                fixture.now());
        assertFalse(leases.fencingToken(runner, fixture.now()).isEmpty());
    }

    /** A host that restarts, or was cut off, can learn the version in force from its peers only. */
    @Test
    void versionThatARestoreHasLostIsToldToHostsThatHaveNotReadIt() {
        ReducerFixture restarted = new ReducerFixture(PEER.host());
        fixture.configure(2, ReducerFixture.route("/new/", ReducerFixture.PLAIN_SERVICE, false, true, false));
        Map<String, DecodedRecord> copy = Map.of("config", configuration(1, "/look/"));
        fixture.restore(Topic.CONFIGURATION, copy);
        restarted.restore(Topic.CONFIGURATION, copy);
        restarted.define("config", new LogPosition(0, 2), configuration(2, "/new/"));
        assertEquals(1, version(restarted));

        exchangeStates(restarted);
        assertEquals(2, version(restarted));
        assertTrue(requestsAfterStates(restarted).isEmpty(), "what is known is asked for again");

        ReducerFixture later = new ReducerFixture(new HostId("host-3"));
        later.restore(Topic.CONFIGURATION, copy);
        later.define("config", new LogPosition(0, 2), configuration(2, "/new/"));
        exchangeStates(restarted, later);
        assertEquals(2, version(later));

        fixture.publish(Topic.CONFIGURATION, "config", configuration(2, "/new/"));
        assertEquals(LogPosition.startOf(0), state(fixture).lostEndPosition());
    }

    @Test
    void versionThatTheFirstOfTwoRestoresHasLostIsToldToHostsThatHaveNotReadIt() {
        ReducerFixture restarted = new ReducerFixture(PEER.host());
        fixture.configure(2, ReducerFixture.route("/new/", ReducerFixture.PLAIN_SERVICE, false, true, false));
        fixture.restore(Topic.CONFIGURATION, Map.of("config", configuration(1, "/look/")));
        fixture.restore(Topic.CONFIGURATION, Map.of());
        restarted.restore(Topic.CONFIGURATION, Map.of());
        restarted.restore(Topic.CONFIGURATION, Map.of("config", configuration(1, "/look/")));
        restarted.define("config", new LogPosition(1, 2), configuration(2, "/new/"));
        exchangeStates(restarted);
        assertEquals(2, version(restarted));
    }

    /** An adapter's version is lost like that of the configuration. */
    @Test
    void adapterVersionThatARestoreHasLostIsToldToHostsThatHaveNotReadIt() {
        DecodedRecord second = new DecodedRecord.AdapterVersionPublished(ReducerFixture.ADAPTER, 2);
        ReducerFixture restarted = new ReducerFixture(PEER.host());
        fixture.publish(Topic.CONFIGURATION, "version/a1", second);
        Map<String, DecodedRecord> copy = Map.of("config", configuration(1, "/look/"));
        fixture.restore(Topic.CONFIGURATION, copy);
        restarted.restore(Topic.CONFIGURATION, copy);
        restarted.define("version/a1", new LogPosition(0, 2), second);
        List<ForwardingEffect> effects = exchangeStates(restarted);
        assertTrue(
                ReducerFixture.only(effects, ForwardingEffect.Log.class).stream()
                        .anyMatch(log -> log.decision().kind().equals("adapter-version")),
                effects.toString());
    }

    private static DecodedRecord configuration(long version, String path) {
        return new DecodedRecord.ConfigurationPublished(new ForwardingConfiguration(
                version,
                List.of(ReducerFixture.route(path, ReducerFixture.PLAIN_SERVICE, false, true, false)),
                List.of(new ServiceDefinition(ReducerFixture.PLAIN_SERVICE, Optional.empty())),
                RequestLimits.DEFAULT,
                TeamTable.NONE));
    }

    private static long version(ReducerFixture host) {
        return host.reducer().status(host.now()).configurationVersion();
    }

    private static PeerMessage.HostState state(ReducerFixture host) {
        HostIdentity peer = new HostIdentity(new HostId("host-9"), 1);
        return ReducerFixture.only(
                        host.apply(new ForwardingEvent.PeerConnected(peer)), ForwardingEffect.SendToPeer.class)
                .stream()
                .map(ForwardingEffect.SendToPeer::message)
                .filter(PeerMessage.HostState.class::isInstance)
                .map(PeerMessage.HostState.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private List<ForwardingEffect> exchangeStates(ReducerFixture uninformed) {
        return exchangeStates(fixture, uninformed);
    }

    /** Tells a host the state of another and delivers what it asks for; returns what that causes. */
    private static List<ForwardingEffect> exchangeStates(ReducerFixture informed, ReducerFixture uninformed) {
        List<ForwardingEffect> effects = new ArrayList<>();
        for (PeerMessage.RecordsRequest request : requests(informed, uninformed)) {
            List<ForwardingEffect> replies =
                    informed.apply(new ForwardingEvent.PeerMessageReceived(uninformed.identity(), request));
            ReducerFixture.only(replies, ForwardingEffect.SendToPeer.class)
                    .forEach(reply -> effects.addAll(uninformed.apply(
                            new ForwardingEvent.PeerMessageReceived(informed.identity(), reply.message()))));
        }
        return effects;
    }

    private List<PeerMessage.RecordsRequest> requestsAfterStates(ReducerFixture host) {
        host.pass(Duration.ofSeconds(1));
        return requests(fixture, host);
    }

    private static List<PeerMessage.RecordsRequest> requests(ReducerFixture informed, ReducerFixture uninformed) {
        List<ForwardingEffect> effects =
                uninformed.apply(new ForwardingEvent.PeerMessageReceived(informed.identity(), state(informed)));
        return ReducerFixture.only(effects, ForwardingEffect.SendToPeer.class).stream()
                .map(ForwardingEffect.SendToPeer::message)
                .filter(PeerMessage.RecordsRequest.class::isInstance)
                .map(PeerMessage.RecordsRequest.class::cast)
                .filter(request -> request.topic() == Topic.CONFIGURATION)
                .toList();
    }

    /** The claim of a runner that has just started waits as long as one that takes a runner over. */
    @Test
    void runnerThatStartsAfterARestoreIsCommandedOnceTheEraIsSettled() {
        fixture.restore(Topic.CLAIMS, Map.of());
        for (Topic topic : List.of(Topic.HOSTS, Topic.CONFIGURATION, Topic.ENDPOINTS)) {
            LogPosition end = new LogPosition(1, fixture.nextOffset());
            fixture.apply(new ForwardingEvent.TopicRead(topic, fixture.now(), true, List.of(), end));
        }
        fixture.pass(Duration.ofSeconds(11));
        int steps = stepsUntilCommanded();
        assertTrue(steps <= 30, steps + " steps of 100 ms");
    }

    @Test
    void runnerThatStartsWithoutARestoreIsCommandedAtOnce() {
        fixture.pass(Duration.ofSeconds(11));
        int steps = stepsUntilCommanded();
        assertTrue(steps <= 30, steps + " steps of 100 ms");
    }

    private int stepsUntilCommanded() {
        fixture.configure(2, ReducerFixture.route("/run/", ReducerFixture.SERVICE, true, false, true));
        fixture.endpoint("runner-1", ReducerFixture.SERVICE, false, 1);
        for (int step = 1; step <= 300; step++) {
            for (ForwardingEffect effect : fixture.pass(Duration.ofMillis(100))) {
                if (effect instanceof ForwardingEffect.AppendClaim append) {
                    fixture.publish(Topic.CLAIMS, "runner-1", append.claim());
                }
                if (effect instanceof ForwardingEffect.Log log
                        && log.decision().kind().equals("command-taken")) {
                    return step;
                }
            }
        }
        return Integer.MAX_VALUE;
    }

    /** A host of the first start that comes up after a drill must not settle the era for those that ran before it. */
    @Test
    void hostOfTheFirstStartThatMissedTheFirstEraDoesNotSettleTheNext() {
        LeaseManager late = new LeaseManager(new HostId("host-2"), Duration.ofSeconds(3), true);
        late.beginEra(1, false, fixture.now());
        LeaseManager running = new LeaseManager(ReducerFixture.HOST, Duration.ofSeconds(3), true);
        running.beginEra(0, false, fixture.now());
        running.beginEra(1, true, fixture.now());
        assertFalse(running.knowsEraSettled(fixture.now()));
        assertFalse(late.knowsEraSettled(fixture.now()));
    }
}
