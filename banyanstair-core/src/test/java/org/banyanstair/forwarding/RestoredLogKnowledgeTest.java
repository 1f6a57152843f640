package org.banyanstair.forwarding;

import java.time.Duration;
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
                        0)));
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

    /** A host that restarts, or was cut off, can learn the version in force from no one until it is written again. */
    @Test
    void versionThatARestoreHasLostIsToldToHostsThatHaveNotReadIt() {
        byte[] older = {1};
        byte[] newer = {2};
        TopicConsumer informed = consumer(entry(newer, 0, 8), 9);
        informed.beginEra(1, fixture.now(), fixture.now());
        informed.tick(fixture.now());
        informed.applyRead(read(entry(older, 1, 5), 6), fixture.now());
        TopicConsumer restarted = consumer(entry(older, 1, 5), 6);
        List<TopicRecord> told = informed.recordsFrom(restarted.end().orFirst());
        assertEquals(1, told.size());
    }

    private TopicConsumer consumer(TopicRecord entry, long end) {
        TopicConsumer consumer = new TopicConsumer(Topic.CONFIGURATION, Duration.ofSeconds(3), Duration.ZERO);
        consumer.tick(fixture.now());
        consumer.applyRead(read(entry, end), fixture.now());
        return consumer;
    }

    private ForwardingEvent.TopicRead read(TopicRecord entry, long end) {
        return new ForwardingEvent.TopicRead(
                Topic.CONFIGURATION,
                fixture.now(),
                true,
                List.of(entry),
                new LogPosition(entry.position().era(), end));
    }

    private static TopicRecord entry(byte[] value, long era, long offset) {
        return new TopicRecord("config", Optional.of(value), new LogPosition(era, offset));
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
