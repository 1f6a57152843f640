package org.banyanstair.forwarding;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.LoadCounts;
import org.banyanstair.peer.PartEvidence;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.RelayedRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Handling of log outages that peers report. */
class RelayedOutageTest {
    private static final int MANY_HOSTS = 30;

    private static final HostIdentity PEER = new HostIdentity(new HostId("host-2"), 1);

    private final ReducerFixture partitioned = new ReducerFixture();
    private final ReducerFixture first = new ReducerFixture();
    private final ReducerFixture second = new ReducerFixture();
    private final List<ReducerFixture> all = List.of(partitioned, first, second);

    @BeforeEach
    void begin() {
        for (ReducerFixture host : all) {
            host.configure(1, ReducerFixture.route("/x/", ReducerFixture.PLAIN_SERVICE, false, true, false));
            host.endpoint("desk-1", ReducerFixture.PLAIN_SERVICE, false, 1);
            host.endpoint("desk-2", ReducerFixture.PLAIN_SERVICE, false, 1);
        }
    }

    private void pass(Duration time) {
        all.forEach(host -> host.pass(time));
    }

    /** Sends a request for endpoint records from one host to another, and the reply back. */
    private static void requestEndpoints(ReducerFixture requester, ReducerFixture responder) {
        List<ForwardingEffect> effects = responder.apply(new ForwardingEvent.PeerMessageReceived(
                PEER, new PeerMessage.RecordsRequest(Topic.ENDPOINTS, 0, 0, 0)));
        PeerMessage answer = ReducerFixture.only(effects, ForwardingEffect.SendToPeer.class)
                .get(0)
                .message();
        requester.apply(new ForwardingEvent.PeerMessageReceived(PEER, answer));
    }

    private static void interruptLog(ReducerFixture host) {
        host.apply(new ForwardingEvent.TopicUnavailable(Topic.ENDPOINTS));
        host.apply(new ForwardingEvent.TopicRead(Topic.ENDPOINTS, host.now(), false, List.of(), new LogPosition(0, 0)));
    }

    private Optional<EndpointId> selectedEndpoint(ReducerFixture host) {
        ForwardRequest request = host.request("/x/1", Optional.empty(), Duration.ofSeconds(2));
        return ReducerFixture.only(host.apply(new ForwardingEvent.RequestArrived(request)), ForwardingEffect.Send.class)
                .stream()
                .map(ForwardingEffect.Send::endpoint)
                .findFirst();
    }

    /**
     * An outage of one host must not count for all because each host reports it with a new end time; requests then
     * reached an endpoint 2.4 s after it had left.
     */
    @Test
    void outageOfOneHostKeepsNoEntriesOnOthers() {
        interruptLog(partitioned);
        pass(Duration.ofMillis(2500));
        requestEndpoints(first, partitioned);
        pass(Duration.ofMillis(400));
        requestEndpoints(second, first);
        second.removed(Topic.ENDPOINTS, "desk-1");
        second.removed(Topic.ENDPOINTS, "desk-2");
        assertEquals(Optional.empty(), selectedEndpoint(second), "this host observed no outage of the log");
    }

    /** Applies an update that a peer read from the log, which it reached all the while. */
    private static void relayUpdate(ReducerFixture host, long offset, String key, boolean removed) {
        RelayedRecord changed = new RelayedRecord(key, "{}".getBytes(StandardCharsets.UTF_8), removed, offset);
        host.apply(new ForwardingEvent.PeerMessageReceived(
                PEER,
                new PeerMessage.RecordsReply(
                        Topic.ENDPOINTS,
                        offset,
                        0,
                        List.of(changed),
                        offset + 1,
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        Optional.empty())));
    }

    /**
     * A host that the log alone rejected took a leaving endpoint for one whose entry had lapsed, and sent a request to
     * it 2.07 s after it had left.
     */
    @Test
    void ownOutageWhilePeersReadTheLogKeepsNoEntries() {
        long end = partitioned.nextOffset();
        partitioned.apply(new ForwardingEvent.TopicUnavailable(Topic.ENDPOINTS));
        partitioned.pass(Duration.ofSeconds(9));
        relayUpdate(partitioned, end, "other", true);
        partitioned.apply(new ForwardingEvent.TopicRead(
                Topic.ENDPOINTS, partitioned.now(), false, List.of(), new LogPosition(0, end + 1)));
        partitioned.pass(Duration.ofSeconds(2));
        relayUpdate(partitioned, end + 1, "desk-1", true);
        relayUpdate(partitioned, end + 2, "desk-2", true);
        assertEquals(Optional.empty(), selectedEndpoint(partitioned), "the entries cannot have lapsed");
    }

    /** Endpoints register again within two seconds of the outage, not of the time at which their entry is missed. */
    @Test
    void endpointRemovedSomeTimeAfterAnOutageIsNotUsedLongerThanItMayTakeToRegisterAgain() {
        interruptLog(first);
        first.pass(Duration.ofMillis(1500));
        first.removed(Topic.ENDPOINTS, "desk-1");
        first.removed(Topic.ENDPOINTS, "desk-2");
        assertTrue(selectedEndpoint(first).isPresent(), "the entries may have lapsed in the outage");
        first.pass(Duration.ofMillis(520));
        assertEquals(Optional.empty(), selectedEndpoint(first), "the endpoints have not registered again in time");
    }

    /**
     * Endpoints register again within two seconds of an outage, which a polling host does not notice by its own reads.
     */
    @Test
    void pollingHostKeepsEntriesThatLapsedInAnOutage() {
        for (int number = 0; number < MANY_HOSTS; number++) {
            HostId host = new HostId("peer-" + number);
            HostAnnouncement announcement = new HostAnnouncement(
                    host, 1, NetworkAddress.parse("10.1.0.1:80"), NetworkAddress.parse("10.1.0.1:81"), "east", 1);
            second.apply(new ForwardingEvent.PeerMessageReceived(
                    new HostIdentity(host, 1),
                    new PeerMessage.HostState(
                            announcement,
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
                            List.of(),
                            List.of())));
        }
        pass(Duration.ofMillis(200));
        interruptLog(partitioned);
        requestEndpoints(second, partitioned);
        second.removed(Topic.ENDPOINTS, "desk-1");
        second.removed(Topic.ENDPOINTS, "desk-2");
        assertTrue(selectedEndpoint(second).isPresent(), "the entries may have lapsed in the outage");
    }
}
