package org.banyanstair.integration.quickstart;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.banyanstair.model.CallerId;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.testsupport.history.EndpointRun;
import org.banyanstair.testsupport.history.HistoryEvent;
import org.banyanstair.testsupport.history.HistoryRecorder;
import org.banyanstair.testsupport.load.CallerResult;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a quick start that reports a broken promise as held. */
class PromiseCheckTest {
    private static final Instant START = Instant.parse("2026-12-04T10:00:00Z");
    private static final CallerResult NOT_RUN = new CallerResult.NotRun(Optional.of("r1"), 503, "log_unavailable");
    private static final CallerResult UNKNOWN =
            new CallerResult.Unknown(Optional.of("r1"), 504, "outcome_unknown", List.of());

    @Test
    void heldPromisesAreNotReported() {
        assertEquals(List.of(), broken(1, result(RequestKind.ORDER, Optional.empty(), answer("order-1"))));
        assertEquals(List.of(), broken(0, result(RequestKind.ORDER, Optional.empty(), UNKNOWN)));
        assertEquals(List.of(), broken(0, result(RequestKind.BAD, Optional.of("log_unavailable"), NOT_RUN)));
    }

    @Test
    void brokenPromisesAreNamed() {
        SampleResult answered = result(RequestKind.ORDER, Optional.empty(), answer("order-1"));
        SampleResult other = result(RequestKind.ORDER, Optional.empty(), answer("order-2"));
        assertEquals(List.of(Promise.AT_MOST_ONCE), broken(2, answered));
        assertEquals(List.of(Promise.NOTHING_LOST), broken(0, answered));
        assertEquals(List.of(Promise.SAME_ANSWER), broken(1, answered, other));
        assertEquals(List.of(Promise.NOTHING_LOST), broken(0, result(RequestKind.STOCK, Optional.empty(), UNKNOWN)));
        assertEquals(
                List.of(Promise.NOT_RUN, Promise.NOTHING_LOST),
                broken(1, result(RequestKind.ORDER, Optional.empty(), NOT_RUN)));
        assertEquals(
                List.of(Promise.BAD_REFUSED),
                broken(0, result(RequestKind.BAD, Optional.of("unknown_model"), NOT_RUN)));
    }

    private static List<Promise> broken(int runs, SampleResult... results) {
        HistoryRecorder history = new HistoryRecorder(() -> START);
        for (SampleResult result : results) {
            SampleRequest request = result.request();
            HistoryEvent.Sent sent = history.sent(
                    request.key(),
                    request.caller(),
                    new HostId("entry-1"),
                    request.model(),
                    request.kind().isRepeatable());
            record(history, sent, result.last());
        }
        EndpointRun run = new EndpointRun(
                new EndpointId("desk-1"), "r1", "key", Optional.empty(), 0, "", START, START.plusMillis(1));
        return new PromiseCheck(List.of(results))
                .check(history.events(), Stream.generate(() -> run).limit(runs).toList(), List.of()).stream()
                        .map(BrokenPromise::promise)
                        .distinct()
                        .toList();
    }

    private static void record(HistoryRecorder history, HistoryEvent.Sent sent, CallerResult last) {
        if (last instanceof CallerResult.ServiceAnswered answered) {
            history.answered(sent, answered.requestId(), answered.status(), Optional.empty(), 0, "");
        } else if (last instanceof CallerResult.NotRun notRun) {
            history.notRun(sent, notRun.requestId(), notRun.code());
        } else {
            history.unknown(sent);
        }
    }

    private static CallerResult answer(String body) {
        return new CallerResult.ServiceAnswered(Optional.of("r1"), 201, body.getBytes(StandardCharsets.UTF_8));
    }

    private static SampleResult result(RequestKind kind, Optional<String> refusal, CallerResult last) {
        SampleRequest request = new SampleRequest(
                kind,
                "key",
                new CallerId("clerk"),
                PriorityClass.STANDARD,
                Optional.empty(),
                Optional.empty(),
                refusal,
                (client, host, deadline) -> CompletableFuture.completedFuture(last));
        SampleResult.Attempt attempt = new SampleResult.Attempt(new HostId("entry-1"), last);
        return new SampleResult(request, List.of(attempt), Duration.ofMillis(1));
    }
}
