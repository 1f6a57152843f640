package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** All live hosts, and soon no failed one, are advertised to callers, whatever the number of hosts. */
class PeerLivenessTest {
    /** Time after which the platform counts callers sent to a failed host as failures. */
    private static final Duration CONTACT_LIMIT = Duration.ofMillis(4000);

    private static HostAnnouncement peer(int number) {
        return new HostAnnouncement(
                new HostId("peer-" + number),
                1,
                NetworkAddress.parse("10.1." + number / 250 + "." + (1 + number % 250) + ":80"),
                NetworkAddress.parse("10.2." + number / 250 + "." + (1 + number % 250) + ":81"),
                "east",
                1);
    }

    private static PeerMessage state(int number, boolean leaving) {
        return new PeerMessage.HostState(
                peer(number),
                leaving,
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
                List.of());
    }

    private static void send(ReducerFixture fixture, int number) {
        fixture.apply(new ForwardingEvent.PeerMessageReceived(
                new HostIdentity(peer(number).host(), 1), state(number, false)));
    }

    private static ReducerFixture withPeers(int peers) {
        ReducerFixture fixture = new ReducerFixture();
        IntStream.range(0, peers).forEach(number -> send(fixture, number));
        return fixture;
    }

    private static Stream<PeerMessage> messagesIn(PeerMessage message) {
        return message instanceof PeerMessage.Bundle bundle
                ? bundle.news().stream().flatMap(broadcast -> broadcast.messages().stream())
                : Stream.of(message);
    }

    /** Returns the longest time between two state messages of a host. */
    private static Duration longestInterval(int peers) {
        ReducerFixture fixture = withPeers(peers);
        List<Instant> sentAt = new ArrayList<>();
        for (int step = 0; step < 500; step++) {
            boolean sent =
                    ReducerFixture.only(fixture.pass(Duration.ofMillis(20)), ForwardingEffect.SendToPeer.class).stream()
                            .flatMap(effect -> messagesIn(effect.message()))
                            .anyMatch(PeerMessage.HostState.class::isInstance);
            if (sent) {
                sentAt.add(fixture.now());
            }
        }
        return IntStream.range(1, sentAt.size())
                .mapToObj(index -> Duration.between(sentAt.get(index - 1), sentAt.get(index)))
                .max(Duration::compareTo)
                .orElseThrow();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 8, 72, 369})
    void peerWhoseStateIsLostOnceStaysLive(int peers) {
        Duration interval = longestInterval(peers);
        ReducerFixture fixture = withPeers(peers);
        for (int round = 0; round < 10; round++) {
            fixture.pass(interval);
            assertEquals(
                    peers + 1, fixture.reducer().callerAddresses(fixture.now()).size(), "round " + round);
            boolean lost = round % 2 == 0;
            IntStream.range(lost ? 1 : 0, peers).forEach(number -> send(fixture, number));
        }
    }

    /**
     * Without an immediate reply to its load request, a host selects another runner and the load serves no request; in
     * a run with 68 hosts, that was a third of all loads.
     */
    @Test
    void loadRequestIsAnsweredImmediately() {
        ReducerFixture fixture = withPeers(30);
        fixture.configure(1, ReducerFixture.route("/chat", ReducerFixture.SERVICE, true, true, true));
        fixture.endpoint("runner-1", ReducerFixture.SERVICE, false, 1, "a1", "a2");
        fixture.publish(
                Topic.CLAIMS,
                "runner-1",
                new DecodedRecord.RunnerClaimed(new EndpointId("runner-1"), ReducerFixture.HOST, true, 0));
        fixture.pass(Duration.ofMillis(200));
        HostIdentity requester = new HostIdentity(peer(7).host(), 1);
        AdapterName wanted = new AdapterName("base", "a3");
        List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.PeerMessageReceived(
                new HostIdentity(peer(3).host(), 1),
                new PeerMessage.Routed(
                        requester,
                        ReducerFixture.HOST,
                        2,
                        new PeerMessage.AdapterWanted(new EndpointId("runner-1"), wanted, 500, 600))));
        assertTrue(ReducerFixture.only(effects, ForwardingEffect.SendToPeer.class).stream()
                .map(ForwardingEffect.SendToPeer::message)
                .filter(PeerMessage.Routed.class::isInstance)
                .map(PeerMessage.Routed.class::cast)
                .anyMatch(answer -> answer.target().equals(requester.host())
                        && answer.message() instanceof PeerMessage.HeldRunner held
                        && held.waitingLoads().contains(wanted)));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 8, 72, 369})
    void silentPeerIsNoLongerAdvertised(int peers) {
        ReducerFixture fixture = withPeers(peers);
        for (Duration passed = Duration.ZERO; passed.compareTo(CONTACT_LIMIT) < 0; passed = passed.plusMillis(200)) {
            fixture.pass(Duration.ofMillis(200));
            IntStream.range(1, peers).forEach(number -> send(fixture, number));
        }
        assertTrue(fixture.reducer().callerAddresses(fixture.now()).stream().noneMatch(peer(0).callers()::equals));
    }
}
