package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.membership.HostAnnouncement;
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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ForwardingReducerTest {
    private static final Duration PATIENCE = Duration.ofSeconds(4);

    private final ReducerFixture fixture = new ReducerFixture();

    private ForwardingEffect.Send arrive(ForwardRequest request) {
        List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.RequestArrived(request));
        List<ForwardingEffect.Send> sends = ReducerFixture.only(effects, ForwardingEffect.Send.class);
        assertEquals(1, sends.size(), () -> "no send in " + effects);
        return sends.get(0);
    }

    private List<ForwardingEffect> end(ForwardingEffect.Send send, AttemptResult result) {
        return fixture.apply(new ForwardingEvent.AttemptEnded(send.exchange(), send.attempt(), result));
    }

    private void configurePlainService(boolean idempotent) {
        fixture.configure(1, ReducerFixture.route("/x/", ReducerFixture.PLAIN_SERVICE, false, idempotent, false));
        fixture.endpoint("desk-1", ReducerFixture.PLAIN_SERVICE, false, 1);
        fixture.endpoint("desk-2", ReducerFixture.PLAIN_SERVICE, false, 1);
    }

    private ForwardRequest plainRequest() {
        return fixture.request("/x/1", Optional.empty(), PATIENCE);
    }

    @Test
    void requestThatMayHaveRunIsNotSentAgain() {
        configurePlainService(false);
        ForwardingEffect.Send send = arrive(plainRequest());
        List<ForwardingEffect> effects =
                end(send, new AttemptResult.Broken(AttemptResult.BrokenCause.CONNECTION_LOST, false, Optional.empty()));
        assertTrue(ReducerFixture.only(effects, ForwardingEffect.Send.class).isEmpty());
        assertTrue(ReducerFixture.only(effects, ForwardingEffect.Refuse.class).isEmpty(), "the request may have run");
        assertEquals(
                1, ReducerFixture.only(effects, ForwardingEffect.Fail.class).size());
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void answerThatWronglyClaimsNoExecutionIsNotDelivered(int status) {
        configurePlainService(false);
        ForwardingEffect.Send send = arrive(plainRequest());
        List<ForwardingEffect> effects = end(send, new AttemptResult.Answered(status, Duration.ZERO));
        assertTrue(
                ReducerFixture.only(effects, ForwardingEffect.Deliver.class).isEmpty(),
                "the caller would repeat the request");
        assertTrue(ReducerFixture.only(effects, ForwardingEffect.Send.class).isEmpty());
        assertEquals(
                1, ReducerFixture.only(effects, ForwardingEffect.Fail.class).size());
    }

    @Test
    void requestThatHasNotRunGoesToAnotherEndpoint() {
        configurePlainService(false);
        ForwardingEffect.Send send = arrive(plainRequest());
        List<ForwardingEffect> effects = end(send, new AttemptResult.NotRun(AttemptResult.NotRunCause.NOT_CONNECTED));
        ForwardingEffect.Send again =
                ReducerFixture.only(effects, ForwardingEffect.Send.class).get(0);
        assertNotEquals(send.endpoint(), again.endpoint());
        assertEquals(2, again.attempt());
    }

    @Test
    void rejectedEverywhereIsRefusedAsNotRun() {
        configurePlainService(false);
        ForwardingEffect.Send send = arrive(plainRequest());
        List<ForwardingEffect> effects = new ArrayList<>();
        for (int round = 0; round < 6; round++) {
            effects.clear();
            effects.addAll(end(send, new AttemptResult.NotRun(AttemptResult.NotRunCause.FULL)));
            List<ForwardingEffect.Send> next = ReducerFixture.only(effects, ForwardingEffect.Send.class);
            if (next.isEmpty()) {
                break;
            }
            send = next.get(0);
        }
        assertEquals(
                1, ReducerFixture.only(effects, ForwardingEffect.Refuse.class).size());
        assertTrue(ReducerFixture.only(effects, ForwardingEffect.Refuse.class)
                .get(0)
                .retryAfter()
                .isPresent());
    }

    @Test
    void failedIdempotentCallIsRetriedOnceElsewhere() {
        configurePlainService(true);
        ForwardingEffect.Send send = arrive(plainRequest());
        ForwardingEffect.Send again = ReducerFixture.only(
                        end(send, new AttemptResult.Answered(500, Duration.ZERO)), ForwardingEffect.Send.class)
                .get(0);
        assertNotEquals(send.endpoint(), again.endpoint());
        List<ForwardingEffect> effects = end(again, new AttemptResult.Answered(500, Duration.ZERO));
        assertTrue(ReducerFixture.only(effects, ForwardingEffect.Send.class).isEmpty(), "two attempts are allowed");
        assertEquals(
                1, ReducerFixture.only(effects, ForwardingEffect.Deliver.class).size());
    }

    /** Guards against a copy of a failure that is taken for the response to a later attempt at the same endpoint. */
    @Test
    void requestThatRanIsNotSentToTheSameEndpointAgain() {
        configurePlainService(true);
        ForwardingEffect.Send first = arrive(plainRequest());
        ForwardingEffect.Send next = ReducerFixture.only(
                        end(first, new AttemptResult.Answered(500, Duration.ZERO)), ForwardingEffect.Send.class)
                .get(0);
        for (int rejections = 0; rejections < 3; rejections++) {
            assertNotEquals(first.endpoint(), next.endpoint());
            List<ForwardingEffect.Send> sent = ReducerFixture.only(
                    end(next, new AttemptResult.NotRun(AttemptResult.NotRunCause.NOT_HERE)),
                    ForwardingEffect.Send.class);
            if (sent.isEmpty()) {
                return;
            }
            next = sent.get(0);
        }
    }

    /**
     * A failed stream is retried like a call if it is resumable; otherwise callers receive a failure while retries are
     * left.
     */
    @Test
    void failedStreamIsRetriedElsewhereOnlyIfResumable() {
        for (boolean resumable : List.of(true, false)) {
            fixture.configure(
                    resumable ? 1 : 2,
                    ReducerFixture.route("/x/", ReducerFixture.PLAIN_SERVICE, true, false, resumable));
            fixture.endpoint("desk-1", ReducerFixture.PLAIN_SERVICE, false, 1);
            fixture.endpoint("desk-2", ReducerFixture.PLAIN_SERVICE, false, 1);
            ForwardingEffect.Send send = arrive(plainRequest());
            List<ForwardingEffect> effects = end(send, new AttemptResult.Answered(500, Duration.ZERO));
            List<ForwardingEffect.Send> again = ReducerFixture.only(effects, ForwardingEffect.Send.class);
            assertEquals(resumable ? 1 : 0, again.size());
            if (resumable) {
                assertNotEquals(send.endpoint(), again.get(0).endpoint());
                effects = end(again.get(0), new AttemptResult.Answered(500, Duration.ZERO));
            }
            assertEquals(
                    1,
                    ReducerFixture.only(effects, ForwardingEffect.Deliver.class).size());
        }
    }

    @Test
    void drainingAndRemovedEndpointsGetNoRequests() {
        configurePlainService(true);
        fixture.endpoint("desk-1", ReducerFixture.PLAIN_SERVICE, true, 1);
        assertEquals(new EndpointId("desk-2"), arrive(plainRequest()).endpoint());
        fixture.removed(Topic.ENDPOINTS, "desk-2");
        List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.RequestArrived(plainRequest()));
        assertEquals(
                RefusalReason.NO_ENDPOINT,
                ReducerFixture.only(effects, ForwardingEffect.Refuse.class)
                        .get(0)
                        .reason());
    }

    @Test
    void entriesThatLapsedInAnOutageStayInUse() {
        configurePlainService(true);
        fixture.endpoint("desk-2", ReducerFixture.PLAIN_SERVICE, true, 1);
        fixture.apply(new ForwardingEvent.TopicUnavailable(Topic.ENDPOINTS));
        fixture.removed(Topic.ENDPOINTS, "desk-1");
        assertEquals(new EndpointId("desk-1"), arrive(plainRequest()).endpoint());
        fixture.pass(Duration.ofMillis(2100));
        List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.RequestArrived(plainRequest()));
        assertEquals(
                1,
                ReducerFixture.only(effects, ForwardingEffect.Refuse.class).size(),
                "the endpoint has not registered again");
    }

    @Test
    void callFailsAtItsDeadline() {
        configurePlainService(false);
        ForwardingEffect.Send send = arrive(plainRequest());
        List<ForwardingEffect> effects = fixture.pass(PATIENCE.plusMillis(100));
        assertEquals(
                1,
                ReducerFixture.only(effects, ForwardingEffect.CancelAttempt.class)
                        .size());
        ForwardingEffect.Fail fail =
                ReducerFixture.only(effects, ForwardingEffect.Fail.class).get(0);
        assertEquals(FailureReason.TIMED_OUT, fail.reason());
        assertEquals(send.exchange(), fail.exchange());
    }

    /**
     * An attempt that is abandoned for silence must leave its own log record, besides the "sent" of the next attempt.
     */
    @Test
    void attemptAbandonedForSilenceIsLogged() {
        configurePlainService(true);
        ForwardingEffect.Send send = arrive(plainRequest());
        List<ForwardingEffect> effects = fixture.pass(Duration.ofMillis(700));
        assertEquals(
                1, ReducerFixture.only(effects, ForwardingEffect.Send.class).size());
        List<DecisionRecord> silent = ReducerFixture.only(effects, ForwardingEffect.Log.class).stream()
                .map(ForwardingEffect.Log::decision)
                .filter(decision -> decision.kind().equals("attempt-silent"))
                .toList();
        assertEquals(1, silent.size());
        assertEquals(send.endpoint(), silent.get(0).fields().get("endpoint"));
        assertEquals(1, silent.get(0).fields().get("attempt"));
    }

    @Test
    void disconnectOfTheCallerCancelsTheAttempt() {
        configurePlainService(false);
        ForwardingEffect.Send send = arrive(plainRequest());
        List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.CallerDisconnected(send.exchange()));
        assertEquals(
                1,
                ReducerFixture.only(effects, ForwardingEffect.CancelAttempt.class)
                        .size());
        assertEquals(0, fixture.reducer().openRequests());
    }

    /** The log writes the name of this host as "host"; the host that the caller named must not replace it. */
    @Test
    void requestWithoutRouteIsLoggedBesideTheNameOfThisHost() {
        configurePlainService(false);
        ForwardRequest request = fixture.request("/elsewhere/1", Optional.empty(), PATIENCE);
        DecisionRecord refused = ReducerFixture.only(
                        fixture.apply(new ForwardingEvent.RequestArrived(request)), ForwardingEffect.Log.class)
                .get(0)
                .decision();
        assertFalse(refused.fields().containsKey("host"), refused.toString());
        assertEquals(request.host(), refused.fields().get("request-host"));
        assertThrows(IllegalArgumentException.class, () -> DecisionRecord.of("refused", "host", request.host()));
    }

    @Test
    void configurationNeverGoesBack() {
        configurePlainService(false);
        fixture.configure(7, ReducerFixture.route("/y/", ReducerFixture.PLAIN_SERVICE, false, true, false));
        fixture.configure(3, ReducerFixture.route("/x/", ReducerFixture.PLAIN_SERVICE, false, true, false));
        assertEquals(7, fixture.reducer().configuration().orElseThrow().version());
        List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.RequestArrived(plainRequest()));
        assertEquals(
                RefusalReason.NO_ROUTE,
                ReducerFixture.only(effects, ForwardingEffect.Refuse.class)
                        .get(0)
                        .reason());
    }

    @Test
    void requestsAreRefusedAsNotReadyWithoutConfiguration() {
        List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.RequestArrived(plainRequest()));
        assertEquals(
                RefusalReason.NOT_READY,
                ReducerFixture.only(effects, ForwardingEffect.Refuse.class)
                        .get(0)
                        .reason());
    }

    @Test
    void brokenStreamContinuesElsewhereOnlyIfResumable() {
        fixture.configure(
                1,
                ReducerFixture.route("/resumable/", ReducerFixture.SERVICE, true, false, true),
                ReducerFixture.route("/once/", ReducerFixture.SERVICE, true, false, false));
        fixture.endpoint("runner-1", ReducerFixture.SERVICE, false, 1, "a1");
        fixture.endpoint("runner-2", ReducerFixture.SERVICE, false, 1, "a1");
        AttemptResult broken =
                new AttemptResult.Broken(AttemptResult.BrokenCause.CONNECTION_LOST, true, Optional.of(4L));
        ForwardingEffect.Send send =
                arrive(fixture.request("/resumable/1", Optional.of(ReducerFixture.ADAPTER), PATIENCE));
        ForwardingEffect.Send again = ReducerFixture.only(end(send, broken), ForwardingEffect.Send.class)
                .get(0);
        assertEquals(Optional.of(4L), again.resumeAfter());
        assertNotEquals(send.endpoint(), again.endpoint());
        ForwardingEffect.Send once = arrive(fixture.request("/once/1", Optional.of(ReducerFixture.ADAPTER), PATIENCE));
        assertEquals(
                1,
                ReducerFixture.only(end(once, broken), ForwardingEffect.Fail.class)
                        .size());
    }

    @Test
    void brokenStreamWhosePositionIsUnknownIsNotRunAgain() {
        fixture.configure(1, ReducerFixture.route("/resumable/", ReducerFixture.SERVICE, true, false, true));
        fixture.endpoint("runner-1", ReducerFixture.SERVICE, false, 1, "a1");
        fixture.endpoint("runner-2", ReducerFixture.SERVICE, false, 1, "a1");
        ForwardingEffect.Send send =
                arrive(fixture.request("/resumable/1", Optional.of(ReducerFixture.ADAPTER), PATIENCE));
        List<ForwardingEffect> effects =
                end(send, new AttemptResult.Broken(AttemptResult.BrokenCause.CONNECTION_LOST, true, Optional.empty()));
        assertEquals(
                0, ReducerFixture.only(effects, ForwardingEffect.Send.class).size());
        assertEquals(
                1, ReducerFixture.only(effects, ForwardingEffect.Fail.class).size());
    }

    @Test
    void requestThatCrashesThreeEndpointsIsRefused() {
        configurePlainService(true);
        fixture.endpoint("desk-3", ReducerFixture.PLAIN_SERVICE, false, 1);
        for (int crash = 1; crash <= 3; crash++) {
            ForwardingEffect.Send send = arrive(plainRequest());
            end(send, new AttemptResult.Broken(AttemptResult.BrokenCause.CONNECTION_LOST, false, Optional.empty()));
            fixture.endpoint(send.endpoint().value(), ReducerFixture.PLAIN_SERVICE, false, 1 + crash);
            fixture.apply(new ForwardingEvent.CallerDisconnected(send.exchange()));
            fixture.pass(Duration.ofSeconds(1));
        }
        List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.RequestArrived(plainRequest()));
        assertEquals(
                RefusalReason.CRASHES_ENDPOINTS,
                ReducerFixture.only(effects, ForwardingEffect.Refuse.class)
                        .get(0)
                        .reason());
    }

    /**
     * Claims that a peer confirms must extend the leases: without that, commands stopped 5 s before an outage of the
     * log ended, because the last own read was 3 s old at its start.
     */
    @Test
    void claimsAreConfirmedByThePeerThatReadsForOthers() {
        HostId peer = new HostId("host-2");
        HostAnnouncement announcement = new HostAnnouncement(
                peer, 1, NetworkAddress.parse("10.0.0.2:80"), NetworkAddress.parse("10.0.0.2:81"), "east", 1);
        fixture.publish(
                Topic.CLAIMS,
                "runner-1",
                new DecodedRecord.RunnerClaimed(new EndpointId("runner-1"), ReducerFixture.HOST, true, 0));
        HostIdentity sender = new HostIdentity(peer, 1);
        List<ForwardingEffect> effects = new ArrayList<>();
        for (int step = 0; step < 20; step++) {
            fixture.apply(new ForwardingEvent.PeerMessageReceived(
                    sender,
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
            effects.addAll(fixture.passWithoutReads(Duration.ofMillis(100)));
        }
        List<PeerMessage.RecordsRequest> requests =
                ReducerFixture.only(effects, ForwardingEffect.SendToPeer.class).stream()
                        .map(ForwardingEffect.SendToPeer::message)
                        .filter(PeerMessage.RecordsRequest.class::isInstance)
                        .map(PeerMessage.RecordsRequest.class::cast)
                        .filter(request -> request.topic() == Topic.CLAIMS)
                        .toList();
        assertTrue(!requests.isEmpty(), "no request for the claims within 2 s without a read");
        fixture.apply(new ForwardingEvent.PeerMessageReceived(
                sender,
                new PeerMessage.RecordsReply(
                        Topic.CLAIMS,
                        1,
                        0,
                        List.of(),
                        1,
                        Optional.empty(),
                        Optional.of(requests.get(requests.size() - 1).askedAtMilliseconds()),
                        10,
                        Optional.empty())));
        List<ForwardingEffect> after = fixture.passWithoutReads(Duration.ofMillis(900));
        assertTrue(
                ReducerFixture.only(after, ForwardingEffect.SendToPeer.class).stream()
                        .noneMatch(effect -> effect.message() instanceof PeerMessage.RecordsRequest),
                "the reply counts as a read");
    }

    private static HostAnnouncement announcement(String host, int port) {
        return new HostAnnouncement(
                new HostId(host),
                1,
                new NetworkAddress("10.0.0.2", port),
                new NetworkAddress("10.0.0.2", port + 1),
                "east",
                1);
    }

    private List<ForwardingEffect> receiveHostState(String host, int port, long configurationEnd) {
        return fixture.apply(new ForwardingEvent.PeerMessageReceived(
                new HostIdentity(new HostId(host), 1),
                new PeerMessage.HostState(
                        announcement(host, port),
                        false,
                        true,
                        0,
                        false,
                        false,
                        configurationEnd,
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

    /**
     * State messages of other peers that are behind too must not reset the wait, or no host is ever asked for the
     * records.
     */
    @Test
    void hostThatIsBehindRequestsRecordsAlsoIfOtherPeersAreBehind() {
        configurePlainService(false);
        List<ForwardingEffect> effects = new ArrayList<>();
        for (int step = 0; step < 20; step++) {
            effects.addAll(receiveHostState("ahead", 80, 1_000));
            effects.addAll(receiveHostState("behind", 82, 0));
            effects.addAll(fixture.passWithoutReads(Duration.ofMillis(50)));
        }
        List<HostId> requested = ReducerFixture.only(effects, ForwardingEffect.SendToPeer.class).stream()
                .filter(effect -> effect.message() instanceof PeerMessage.RecordsRequest request
                        && request.topic() == Topic.CONFIGURATION)
                .map(ForwardingEffect.SendToPeer::peer)
                .toList();
        assertTrue(requested.contains(new HostId("ahead")), "no request to the host that is ahead within 1 s");
        assertTrue(requested.size() <= 3, "requested " + requested.size() + " times");
    }

    @Test
    void retriesStayWithinTheShareOfAllHosts() {
        configurePlainService(true);
        int retries = 0;
        for (int index = 0; index < 400; index++) {
            ForwardingEffect.Send send = arrive(plainRequest());
            List<ForwardingEffect> effects = end(send, new AttemptResult.Answered(500, Duration.ZERO));
            for (ForwardingEffect.Send again : ReducerFixture.only(effects, ForwardingEffect.Send.class)) {
                retries++;
                end(again, new AttemptResult.Answered(200, Duration.ZERO));
            }
        }
        assertTrue(retries <= 0.2 * 400 + 50, "retries: " + retries);
        assertTrue(retries >= 50, "retries: " + retries);
    }
}
