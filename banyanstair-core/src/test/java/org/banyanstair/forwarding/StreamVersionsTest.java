package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.RequestId;
import org.banyanstair.peer.BegunStreams;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.versions.SoftwareVersion;
import org.banyanstair.versions.StreamBatch;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against streams that go on at another software version than the one that began them. */
class StreamVersionsTest {
    private static final SoftwareVersion OLD = new SoftwareVersion("v1");

    private static final SoftwareVersion NEW = new SoftwareVersion("v1.1");

    private static final String PATH = "/tell/1";

    private static final RequestId FIRST = new RequestId("first");

    private static final Duration PATIENCE = Duration.ofSeconds(5);

    private static final HostIdentity PEER = new HostIdentity(new HostId("host-2"), 1);

    private final ReducerFixture fixture = new ReducerFixture();

    StreamVersionsTest() {
        fixture.configure(1, ReducerFixture.route("/tell/", ReducerFixture.PLAIN_SERVICE, true, false, true));
        fixture.endpointOf(OLD, "old-1", false, 1);
        fixture.endpointOf(OLD, "old-2", false, 1);
        readEndpoints();
    }

    private void readEndpoints() {
        fixture.apply(new ForwardingEvent.TopicRead(
                Topic.ENDPOINTS, fixture.now(), false, List.of(), new LogPosition(0, fixture.nextOffset())));
    }

    private void addNewVersion() {
        fixture.endpointOf(NEW, "new-1", false, 1);
        fixture.endpointOf(NEW, "new-2", false, 1);
    }

    private List<ForwardingEffect> arrive(ForwardRequest request) {
        return fixture.apply(new ForwardingEvent.RequestArrived(request));
    }

    private static Optional<String> sentTo(List<ForwardingEffect> effects) {
        return ReducerFixture.only(effects, ForwardingEffect.Send.class).stream()
                .map(ForwardingEffect.Send::endpoint)
                .map(EndpointId::value)
                .findFirst();
    }

    private static Optional<RefusalReason> refusal(List<ForwardingEffect> effects) {
        return ReducerFixture.only(effects, ForwardingEffect.Refuse.class).stream()
                .map(ForwardingEffect.Refuse::reason)
                .findFirst();
    }

    private ForwardRequest begin() {
        ForwardRequest request = fixture.request(PATH, Optional.empty(), PATIENCE);
        arrive(request);
        fixture.apply(new ForwardingEvent.FirstOutput(request.exchange(), 1));
        return request;
    }

    private List<ForwardingEffect> breakOff(ForwardRequest request, boolean afterAnEvent) {
        return fixture.apply(new ForwardingEvent.AttemptEnded(
                request.exchange(),
                1,
                new AttemptResult.Broken(
                        AttemptResult.BrokenCause.CONNECTION_LOST,
                        afterAnEvent,
                        afterAnEvent ? Optional.of(4L) : Optional.empty())));
    }

    private void removeOldExcept(String id) {
        for (String other : List.of("old-1", "old-2")) {
            if (!other.equals(id)) {
                fixture.removed(Topic.ENDPOINTS, other);
            }
        }
    }

    @Test
    void hostResumesAtTheSameVersionOnly() {
        ForwardRequest request = begin();
        addNewVersion();
        assertTrue(sentTo(breakOff(request, true)).orElseThrow().startsWith("old-"));
    }

    @Test
    void hostDoesNotResumeAtAnotherVersion() {
        fixture.removed(Topic.ENDPOINTS, "old-2");
        ForwardRequest request = begin();
        addNewVersion();
        List<ForwardingEffect> effects = breakOff(request, true);
        assertEquals(Optional.empty(), sentTo(effects));
        assertEquals(
                1, ReducerFixture.only(effects, ForwardingEffect.Fail.class).size());
    }

    @Test
    void streamWithoutAnEventMayBeginAtAnotherVersion() {
        fixture.removed(Topic.ENDPOINTS, "old-2");
        ForwardRequest request = begin();
        addNewVersion();
        assertTrue(sentTo(breakOff(request, false)).orElseThrow().startsWith("new-"));
    }

    @Test
    void ownStreamIsResumedAtItsVersion() {
        ForwardRequest request = begin();
        addNewVersion();
        for (int number = 0; number < 10; number++) {
            assertTrue(sentTo(arrive(fixture.resuming(request.id(), PATH, PATIENCE)))
                    .orElseThrow()
                    .startsWith("old-"));
        }
    }

    @Test
    void streamOfAPeerIsResumedAtItsVersion() {
        addNewVersion();
        fixture.apply(new ForwardingEvent.PeerMessageReceived(
                PEER,
                new PeerMessage.UseReport(
                        List.of(),
                        false,
                        List.of(),
                        List.of(new BegunStreams(
                                ReducerFixture.PLAIN_SERVICE, NEW.value(), List.of(FIRST.value()), 10_000)))));
        assertTrue(sentTo(arrive(fixture.resuming(FIRST, PATH, PATIENCE)))
                .orElseThrow()
                .startsWith("new-"));
    }

    @Test
    void recordedStreamIsResumedAtItsVersion() {
        addNewVersion();
        Instant expiresAt = fixture.now().plusSeconds(10);
        fixture.publish(
                Topic.STREAMS,
                "streams/host-2/1",
                new DecodedRecord.StreamsBegun(
                        List.of(new StreamBatch(ReducerFixture.PLAIN_SERVICE, NEW, List.of(FIRST), expiresAt))));
        assertTrue(sentTo(arrive(fixture.resuming(FIRST, PATH, PATIENCE)))
                .orElseThrow()
                .startsWith("new-"));
    }

    /** A configuration may have moved the route meanwhile. */
    @Test
    void streamOfAnotherServiceIsNotResumed() {
        fixture.publish(
                Topic.STREAMS,
                "streams/host-2/1",
                new DecodedRecord.StreamsBegun(List.of(new StreamBatch(
                        ReducerFixture.SERVICE,
                        OLD,
                        List.of(FIRST),
                        fixture.now().plusSeconds(10)))));
        assertEquals(
                Optional.of(RefusalReason.STREAM_VERSION_UNKNOWN),
                refusal(arrive(fixture.resuming(FIRST, PATH, PATIENCE))));
    }

    @Test
    void unknownStreamGoesOnIfOneVersionServesAndDidLately() {
        assertTrue(sentTo(arrive(fixture.resuming(FIRST, PATH, PATIENCE)))
                .orElseThrow()
                .startsWith("old-"));
    }

    @Test
    void unknownStreamIsRefusedSoonWhileSeveralVersionsServe() {
        addNewVersion();
        List<ForwardingEffect> effects = new ArrayList<>(arrive(fixture.resuming(FIRST, PATH, PATIENCE)));
        effects.addAll(fixture.pass(Duration.ofMillis(400)));
        assertEquals(Optional.empty(), sentTo(effects));
        assertEquals(Optional.of(RefusalReason.STREAM_VERSION_UNKNOWN), refusal(effects));
    }

    /** The host reads the log once more before it refuses. */
    @Test
    void streamThatIsRecordedMeanwhileGoesOn() {
        addNewVersion();
        List<ForwardingEffect> effects = new ArrayList<>(arrive(fixture.resuming(FIRST, PATH, PATIENCE)));
        effects.addAll(fixture.passWithoutReads(Duration.ofMillis(40)));
        assertTrue(effects.stream()
                .anyMatch(effect -> effect instanceof ForwardingEffect.ReadNewest read && read.topic() == Topic.STREAMS
                        || effect instanceof ForwardingEffect.ReadFrom from && from.topic() == Topic.STREAMS));
        fixture.publish(
                Topic.STREAMS,
                "streams/host-2/1",
                new DecodedRecord.StreamsBegun(List.of(new StreamBatch(
                        ReducerFixture.PLAIN_SERVICE,
                        OLD,
                        List.of(FIRST),
                        fixture.now().plusSeconds(10)))));
        assertTrue(sentTo(fixture.passWithoutReads(Duration.ofMillis(40)))
                .orElseThrow()
                .startsWith("old-"));
    }

    @Test
    void streamOfAVersionThatHasLeftIsRefusedAtOnce() {
        ForwardRequest request = begin();
        addNewVersion();
        removeOldExcept("");
        List<ForwardingEffect> effects = arrive(fixture.resuming(request.id(), PATH, PATIENCE));
        assertEquals(Optional.of(RefusalReason.STREAM_VERSION_GONE), refusal(effects));
        assertEquals(
                Optional.empty(),
                ReducerFixture.only(effects, ForwardingEffect.Refuse.class)
                        .get(0)
                        .retryAfter());
    }

    /** All hosts were killed just after the old version had left; only the log tells that it served. */
    @Test
    void unknownStreamIsRefusedIfTheLogNamesAnotherVersionThatServedLately() {
        fixture.publish(
                Topic.STREAMS,
                "versions/" + ReducerFixture.PLAIN_SERVICE,
                new DecodedRecord.VersionsServed(
                        ReducerFixture.PLAIN_SERVICE,
                        Map.of(OLD, Instant.MAX, NEW, fixture.now().minusSeconds(5))));
        List<ForwardingEffect> effects = new ArrayList<>(arrive(fixture.resuming(FIRST, PATH, PATIENCE)));
        effects.addAll(fixture.pass(Duration.ofMillis(400)));
        assertEquals(Optional.of(RefusalReason.STREAM_VERSION_UNKNOWN), refusal(effects));
    }

    /** What happened while the process stood still is not known yet. */
    @Test
    void suspendedHostDoesNotAssumeThatOneVersionServes() {
        fixture.pass(Duration.ofMillis(100));
        fixture.standStill(Duration.ofSeconds(3));
        assertEquals(Optional.empty(), sentTo(arrive(fixture.resuming(FIRST, PATH, PATIENCE))));
        readEndpoints();
        assertTrue(sentTo(fixture.passWithoutReads(Duration.ofMillis(60)))
                .orElseThrow()
                .startsWith("old-"));
    }

    /** The entry of a process that has started again is read later than its first connection opens. */
    @Test
    void streamIsNotResumedWhereAnotherProcessMayHaveStarted() {
        ForwardRequest request = begin();
        addNewVersion();
        fixture.apply(new ForwardingEvent.ConnectionRefused(new EndpointId("old-1"), 1));
        fixture.passWithoutReads(Duration.ofSeconds(1));
        for (int number = 0; number < 8; number++) {
            assertEquals(Optional.of("old-2"), sentTo(arrive(fixture.resuming(request.id(), PATH, PATIENCE))));
        }
    }

    private static ForwardingEffect.Send send(List<ForwardingEffect> effects) {
        return ReducerFixture.only(effects, ForwardingEffect.Send.class).get(0);
    }

    @Test
    void onlyRequestsThatResumeNameTheProcess() {
        ForwardRequest request = fixture.request(PATH, Optional.empty(), PATIENCE);
        assertEquals(OptionalLong.empty(), send(arrive(request)).started());
        fixture.apply(new ForwardingEvent.FirstOutput(request.exchange(), 1));
        assertEquals(OptionalLong.of(1), send(breakOff(request, true)).started());
        assertEquals(
                OptionalLong.of(1),
                send(arrive(fixture.resuming(request.id(), PATH, PATIENCE))).started());
    }

    @Test
    void streamGoesElsewhereIfAConnectionLeadsToAnotherProcess() {
        ForwardRequest request = begin();
        addNewVersion();
        ForwardRequest resuming = fixture.resuming(request.id(), PATH, PATIENCE);
        ForwardingEffect.Send first = send(arrive(resuming));
        List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.AttemptEnded(
                resuming.exchange(), 1, new AttemptResult.NotRun(AttemptResult.NotRunCause.OTHER_PROCESS)));
        String other = first.endpoint().value().equals("old-1") ? "old-2" : "old-1";
        assertEquals(Optional.of(other), sentTo(effects));
        fixture.passWithoutReads(Duration.ofSeconds(4));
        for (int number = 0; number < 8; number++) {
            assertEquals(Optional.of(other), sentTo(arrive(fixture.resuming(request.id(), PATH, PATIENCE))));
        }
    }

    /** Either process may have written the first event. */
    @Test
    void streamIsNotResumedIfItsEndpointRestartedBeforeTheFirstEvent() {
        fixture.removed(Topic.ENDPOINTS, "old-2");
        ForwardRequest request = fixture.request(PATH, Optional.empty(), PATIENCE);
        assertEquals(Optional.of("old-1"), sentTo(arrive(request)));
        fixture.passWithoutReads(Duration.ofMillis(20));
        fixture.endpointOf(NEW, "old-1", false, 2);
        fixture.endpointOf(OLD, "old-3", false, 1);
        fixture.apply(new ForwardingEvent.FirstOutput(request.exchange(), 1));
        List<ForwardingEffect> effects = new ArrayList<>(breakOff(request, true));
        effects.addAll(arrive(fixture.resuming(request.id(), PATH, PATIENCE)));
        assertEquals(Optional.empty(), sentTo(effects));
    }

    @Test
    void callerComesBackWhileTheVersionOfTheOnlyEndpointIsUncertain() {
        ForwardRequest request = begin();
        addNewVersion();
        removeOldExcept("old-1");
        fixture.apply(new ForwardingEvent.ConnectionRefused(new EndpointId("old-1"), 1));
        fixture.passWithoutReads(Duration.ofSeconds(1));
        List<ForwardingEffect> effects = arrive(fixture.resuming(request.id(), PATH, PATIENCE));
        assertTrue(ReducerFixture.only(effects, ForwardingEffect.Refuse.class)
                .get(0)
                .retryAfter()
                .isPresent());
        fixture.passWithoutReads(Duration.ofMillis(1200));
        assertEquals(Optional.of("old-1"), sentTo(arrive(fixture.resuming(request.id(), PATH, PATIENCE))));
    }

    /** A stream of an uncertain version is none of a further version that serves. */
    @Test
    void uncertainVersionOfAPeerDoesNotMixTheVersionsOfAService() {
        fixture.apply(new ForwardingEvent.PeerMessageReceived(
                PEER,
                new PeerMessage.UseReport(
                        List.of(),
                        false,
                        List.of(),
                        List.of(new BegunStreams(
                                ReducerFixture.PLAIN_SERVICE,
                                SoftwareVersion.UNCERTAIN.value(),
                                List.of("another"),
                                10_000)))));
        assertTrue(sentTo(arrive(fixture.resuming(FIRST, PATH, PATIENCE)))
                .orElseThrow()
                .startsWith("old-"));
    }

    @Test
    void streamsAreReportedAndRecordedOnceAnotherVersionServes() {
        ForwardRequest request = begin();
        List<ForwardingEffect> before = fixture.pass(Duration.ofSeconds(1));
        assertEquals(
                0,
                ReducerFixture.only(before, ForwardingEffect.AppendStreams.class)
                        .size());
        addNewVersion();
        List<ForwardingEffect> after = fixture.pass(Duration.ofSeconds(1));
        List<RequestId> recorded = ReducerFixture.only(after, ForwardingEffect.AppendStreams.class).stream()
                .flatMap(append -> append.batches().stream())
                .filter(batch -> batch.version().equals(OLD))
                .flatMap(batch -> batch.requests().stream())
                .toList();
        assertTrue(recorded.contains(request.id()), recorded.toString());
        assertEquals(
                1,
                ReducerFixture.only(after, ForwardingEffect.AppendVersions.class)
                        .size());
    }

    @Test
    void streamsAreRecordedAgainAfterTheLogWasRestored() {
        ForwardRequest request = begin();
        addNewVersion();
        fixture.pass(Duration.ofSeconds(5));
        fixture.restore(Topic.STREAMS, Map.of());
        List<RequestId> recorded =
                ReducerFixture.only(
                                fixture.passWithoutReads(Duration.ofSeconds(1)), ForwardingEffect.AppendStreams.class)
                        .stream()
                        .flatMap(append -> append.batches().stream())
                        .flatMap(batch -> batch.requests().stream())
                        .toList();
        assertTrue(recorded.contains(request.id()), recorded.toString());
    }
}
