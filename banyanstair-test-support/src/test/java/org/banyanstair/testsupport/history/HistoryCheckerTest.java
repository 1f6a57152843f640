package org.banyanstair.testsupport.history;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.ModelName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Guards against checks that miss a violation or report a false one. */
class HistoryCheckerTest {
    private static final AdapterVersion V1 = AdapterVersion.parse("assistant/tender@v1");
    private static final AdapterVersion V2 = AdapterVersion.parse("assistant/tender@v2");

    private Instant now = Instant.EPOCH;
    private final HistoryRecorder recorder = new HistoryRecorder(() -> now = now.plusSeconds(1));
    private final List<EndpointRun> runs = new ArrayList<>();
    private final List<EndpointUnload> unloads = new ArrayList<>();

    @Test
    void answerByNamedVersionPasses() {
        answer(generation("k1", "assistant/tender@v1"), "r1", V1, "text");
        run("r1", "k1", Optional.of(V1));
        answer(generation("k2", "assistant/tender"), "r2", V2, "text");
        run("r2", "k2", Optional.of(V2));
        assertNoViolation();
    }

    @Test
    void answerByAnotherVersionFails() {
        answer(generation("k1", "assistant/tender@v1"), "r1", V2, "text");
        assertViolation(Violation.AnsweredByAnotherVersion.class);
    }

    @Test
    void answerByAnotherAdapterFails() {
        answer(generation("k1", "assistant/safety"), "r1", V2, "text");
        assertViolation(Violation.AnsweredByAnotherVersion.class);
    }

    @Test
    void runOnAnotherVersionThanAnsweredFails() {
        answer(generation("k1", "assistant/tender@v1"), "r1", V1, "text");
        run("r1", "k1", Optional.of(V2));
        assertViolation(Violation.RanOnAnotherVersion.class);
    }

    @Test
    void wrongTextFails() {
        answer(generation("k1", "assistant/tender@v1"), "r1", V1, "answer of someone else");
        assertViolation(Violation.WrongText.class);
    }

    @Test
    void missingTokenFails() {
        recorder.answered(generation("k1", "assistant/tender@v1"), Optional.of("r1"), 200, Optional.of(V1), 3, "text");
        assertViolation(Violation.WrongText.class);
    }

    @Test
    void rejectedRequestThatRanLaterFails() {
        recorder.notRun(order("k1"), Optional.of("r1"), "queue_full");
        run("r9", "k1", Optional.empty());
        assertViolation(Violation.RanAlthoughNotRun.class);
    }

    @Test
    void rejectedRequestThatRanAfterItWasSentAgainFails() {
        recorder.notRun(order("k1"), Optional.of("r1"), "queue_full");
        acknowledge(order("k1"));
        run("r1", "k1", Optional.empty());
        assertViolation(Violation.RanAlthoughNotRun.class);
    }

    @Test
    void rejectedRequestThatWasSentAgainPasses() {
        recorder.notRun(order("k1"), Optional.of("r1"), "queue_full");
        HistoryEvent.Sent again = order("k1");
        run("r2", "k1", Optional.empty());
        acknowledge(again);
        assertNoViolation();
    }

    @Test
    void rejectionOfDuplicateWhileFirstRunsPasses() {
        HistoryEvent.Sent first = order("k1");
        HistoryEvent.Sent duplicate = order("k1");
        run("r1", "k1", Optional.empty());
        recorder.notRun(duplicate, Optional.of("r2"), "caller_limit_reached");
        recorder.unknown(first);
        assertNoViolation();
    }

    @Test
    void orderThatRanTwiceFails() {
        recorder.unknown(order("k1"));
        run("r1", "k1", Optional.empty());
        run("r1", "k1", Optional.empty());
        assertViolation(Violation.RanMoreThanOnce.class);
    }

    @Test
    void retriedStockCheckPasses() {
        HistoryEvent.Sent check = recorder.sent("k1", new CallerId("clerk"), host(), Optional.empty(), true);
        run("r1", "k1", Optional.empty());
        run("r1", "k1", Optional.empty());
        acknowledge(check);
        assertNoViolation();
    }

    @Test
    void acknowledgedOrderThatNeverRanFails() {
        acknowledge(order("k1"));
        assertViolation(Violation.AcknowledgedButNeverRan.class);
    }

    @Test
    void orderWithErrorStatusAndOrderWithoutResponsePass() {
        recorder.answered(order("k1"), Optional.of("r1"), 409, Optional.empty(), 0, "text");
        order("k2");
        assertNoViolation();
    }

    @Test
    void unloadInUseFails() {
        EndpointRun run = run("r1", "k1", Optional.of(V1));
        unloads.add(new EndpointUnload(run.endpoint(), V1, run.start().plusMillis(500)));
        assertViolation(Violation.UnloadedInUse.class);
    }

    @Test
    void unloadBeforeAfterOrElsewherePasses() {
        EndpointRun run = run("r1", "k1", Optional.of(V1));
        unloads.add(new EndpointUnload(run.endpoint(), V1, run.start()));
        unloads.add(new EndpointUnload(run.endpoint(), V1, run.end()));
        unloads.add(new EndpointUnload(run.endpoint(), V2, run.start().plusMillis(500)));
        unloads.add(
                new EndpointUnload(new EndpointId("runner-2"), V1, run.start().plusMillis(500)));
        assertNoViolation();
    }

    private static HostId host() {
        return new HostId("entry-1");
    }

    private HistoryEvent.Sent generation(String key, String model) {
        return recorder.sent(key, new CallerId("clerk"), host(), Optional.of(ModelName.parse(model)), true);
    }

    private HistoryEvent.Sent order(String key) {
        return recorder.sent(key, new CallerId("clerk"), host(), Optional.empty(), false);
    }

    private void answer(HistoryEvent.Sent sent, String requestId, AdapterVersion adapter, String text) {
        recorder.answered(sent, Optional.of(requestId), 200, Optional.of(adapter), 4, text);
    }

    private void acknowledge(HistoryEvent.Sent sent) {
        recorder.answered(sent, Optional.of("r2"), 201, Optional.empty(), 4, "text");
    }

    private EndpointRun run(String requestId, String key, Optional<AdapterVersion> adapter) {
        now = now.plusSeconds(2);
        EndpointRun run = new EndpointRun(
                new EndpointId("runner-1"), requestId, key, adapter, 4, "text", now.minusSeconds(1), now);
        runs.add(run);
        return run;
    }

    private List<Violation> check() {
        AnswerOracle oracle = answered -> Optional.of(new ExpectedAnswer(4, "text"));
        return new HistoryChecker(recorder.events(), runs, unloads, oracle).check();
    }

    private void assertNoViolation() {
        assertEquals(List.of(), check());
    }

    private void assertViolation(Class<? extends Violation> type) {
        List<Violation> violations = check();
        assertEquals(1, violations.size(), violations::toString);
        assertInstanceOf(type, violations.get(0));
    }
}
