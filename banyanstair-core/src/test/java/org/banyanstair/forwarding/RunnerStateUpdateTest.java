package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * State updates of a runner that another host commands in a large deployment, which arrive over relays and directly.
 */
class RunnerStateUpdateTest {
    private static final EndpointId RUNNER = new EndpointId("runner-1");

    private static final AdapterName EARLIER = new AdapterName("base", "earlier");

    private static final AdapterName REQUESTED = new AdapterName("base", "wanted");

    private static final int OTHER_HOSTS = 30;

    private static final Duration STEP = Duration.ofMillis(20);

    /** Maximum delay of a message over relays, each of which batches messages. */
    private static final Duration RELAYED = PeerMessenger.BUNDLE_INTERVAL.multipliedBy(2);

    /** Longest load time in the model specifications. */
    private static final Duration LONGEST_LOAD = Duration.ofMillis(288);

    private final ReducerFixture leaseHolder = new ReducerFixture();
    private final ReducerFixture requester = new ReducerFixture(new HostId("host-2"));

    @BeforeEach
    void begin() {
        for (ReducerFixture fixture : List.of(leaseHolder, requester)) {
            IntStream.range(0, OTHER_HOSTS).forEach(number -> announce(fixture, new HostId("peer-" + number)));
            announce(fixture, fixture == leaseHolder ? requester.identity().host() : ReducerFixture.HOST);
            fixture.configure(1, ReducerFixture.route("/chat", ReducerFixture.SERVICE, true, true, true));
            fixture.endpoint(RUNNER.value(), ReducerFixture.SERVICE, false, 1);
            fixture.publish(
                    Topic.CLAIMS,
                    RUNNER.value(),
                    new DecodedRecord.RunnerClaimed(RUNNER, ReducerFixture.HOST, true, 0));
        }
        List<ForwardingEffect> effects = new ArrayList<>(pass(Duration.ofMillis(200)));
        RunnerState empty = new RunnerState(0, false, Set.of("base"), List.of(), List.of());
        effects.addAll(leaseHolder.apply(new ForwardingEvent.Inspected(RUNNER, Optional.of(empty))));
        effects.addAll(pass(RELAYED));
        deliver(effects);
    }

    private static void announce(ReducerFixture fixture, HostId host) {
        HostAnnouncement announcement = new HostAnnouncement(
                host, 1, NetworkAddress.parse("10.1.0.1:80"), NetworkAddress.parse("10.2.0.1:81"), "east", 1);
        fixture.apply(new ForwardingEvent.PeerMessageReceived(
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

    /** Advances time for both hosts; returns the effects of the lease holder. */
    private List<ForwardingEffect> pass(Duration time) {
        requester.pass(time);
        return leaseHolder.pass(time);
    }

    private List<ForwardingEffect> deliver(List<ForwardingEffect> fromLeaseHolder) {
        List<ForwardingEffect> effects = new ArrayList<>();
        for (ForwardingEffect.SendToPeer sent :
                ReducerFixture.only(fromLeaseHolder, ForwardingEffect.SendToPeer.class)) {
            effects.addAll(
                    requester.apply(new ForwardingEvent.PeerMessageReceived(leaseHolder.identity(), sent.message())));
        }
        return effects;
    }

    private List<ForwardingEffect> accept(List<ForwardingEffect> fromLeaseHolder) {
        AdapterCommand command = ReducerFixture.only(fromLeaseHolder, ForwardingEffect.Command.class)
                .get(0)
                .command();
        return leaseHolder.apply(new ForwardingEvent.CommandAnswered(command, CommandResult.ACCEPTED));
    }

    private List<ForwardingEffect> requestLoad() {
        List<ForwardingEffect> effects = requester.apply(new ForwardingEvent.RequestArrived(
                requester.request("/chat", Optional.of(REQUESTED), Duration.ofSeconds(6))));
        PeerMessage loadRequest = ReducerFixture.only(effects, ForwardingEffect.SendToPeer.class).stream()
                .map(ForwardingEffect.SendToPeer::message)
                .map(message -> message instanceof PeerMessage.Routed routed ? routed.message() : message)
                .filter(PeerMessage.AdapterWanted.class::isInstance)
                .findFirst()
                .orElseThrow();
        return leaseHolder.apply(new ForwardingEvent.PeerMessageReceived(requester.identity(), loadRequest));
    }

    private static List<ForwardingEffect> bundles(List<ForwardingEffect> effects) {
        return effects.stream()
                .filter(effect -> effect instanceof ForwardingEffect.SendToPeer sent
                        && sent.message() instanceof PeerMessage.Bundle)
                .toList();
    }

    /**
     * An older update that arrives late over relays must not replace a newer direct one, or the requester abandons a
     * load that was made.
     */
    @Test
    void outdatedUpdateIsIgnored() {
        accept(leaseHolder.apply(new ForwardingEvent.RequestArrived(
                leaseHolder.request("/chat", Optional.of(EARLIER), Duration.ofSeconds(6)))));
        List<ForwardingEffect> older = bundles(pass(PeerMessenger.BUNDLE_INTERVAL));
        assertFalse(older.isEmpty());
        deliver(accept(requestLoad()));
        List<ForwardingEffect> atRequester = new ArrayList<>(deliver(older));
        atRequester.addAll(requester.pass(RunnerTimings.ADAPTER_LOAD.plus(RELAYED)));
        assertTrue(
                ReducerFixture.only(atRequester, ForwardingEffect.Refuse.class).isEmpty(), "refused");
        assertEquals(
                1, ReducerFixture.only(atRequester, ForwardingEffect.Send.class).size());
    }

    /** A duplicate of an update that arrives over relays must not restart the remaining load time. */
    @Test
    void duplicateUpdateDoesNotDelayTheEndOfALoad() {
        deliver(accept(requestLoad()));
        Instant accepted = requester.now();
        List<ForwardingEffect> relayed = bundles(leaseHolder.pass(PeerMessenger.BUNDLE_INTERVAL));
        assertFalse(relayed.isEmpty());
        List<ForwardingEffect> atRequester = new ArrayList<>(requester.pass(RELAYED));
        atRequester.addAll(deliver(relayed));
        Duration rest = Duration.between(requester.now(), accepted.plus(RunnerTimings.ADAPTER_LOAD));
        atRequester.addAll(requester.pass(rest.plus(PeerMessenger.BUNDLE_INTERVAL.dividedBy(2))));
        assertEquals(
                1, ReducerFixture.only(atRequester, ForwardingEffect.Send.class).size());
    }

    /**
     * A request must not reach a runner before its adapter, which rejects it; that happened to two of the first
     * requests of each host.
     */
    @Test
    void requestIsNotSentBeforeItsAdapterIsLoaded() {
        Instant accepted = requester.now();
        deliver(accept(requestLoad()));
        int steps = 1;
        while (ReducerFixture.only(requester.pass(STEP), ForwardingEffect.Send.class)
                .isEmpty()) {
            assertTrue(++steps < 50, "never sent");
        }
        Duration waited = Duration.between(accepted, requester.now());
        assertTrue(waited.compareTo(LONGEST_LOAD) >= 0, waited + " after the load began");
    }
}
