package org.banyanstair.idempotency;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.LogEntry;
import org.banyanstair.external.LogStreams;
import org.banyanstair.external.ServiceCall;
import org.banyanstair.membership.Membership;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.RequestId;
import org.banyanstair.model.ServiceId;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.reducer.Sequence;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against calls that wait for a record that is never appended, and against ticks that scan answered calls. */
class CallWriterTest {
    private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
    private static final HostId HOST = new HostId("entry-1");
    private static final Failure FAILURE = new Failure.LogUnavailable("calls-0");
    private static final int ANSWERED_CALLS = 10_000;
    private static final int TICKS = 1_000;

    private final Effects effects = new Effects();
    private final CallWriter writer =
            new CallWriter(0, new Membership(new HostIdentity(HOST, 1)), ReducerSettings.DEFAULT, new Sequence());

    private void submit(String attempt, String key, Instant deadline) {
        ServiceCall call =
                new ServiceCall(new RequestId(attempt), "POST", "/orders", Optional.empty(), new byte[0], deadline);
        CallKey callKey = new CallKey(new CallerId("clerk"), new ServiceId("order-desk"), key);
        PeerMessage.CallSubmit submit = new PeerMessage.CallSubmit(
                new AttemptId(attempt), callKey, "digest", new PoolId("order-desk"), call, Set.of(), Optional.empty());
        writer.submit(HOST, submit, NOW, effects);
    }

    private List<String> refusals(List<Effect> drained) {
        return drained.stream()
                .filter(Effect.SendToPeer.class::isInstance)
                .map(effect -> (PeerMessage.CallOutcome) ((Effect.SendToPeer) effect).message())
                .filter(outcome -> outcome.answer() instanceof CallAnswer.NotRun)
                .map(outcome -> outcome.attempt().value())
                .toList();
    }

    private long append(List<Effect> drained) {
        return drained.stream()
                .filter(Effect.AppendToLog.class::isInstance)
                .map(effect -> ((Effect.AppendToLog) effect).appendId())
                .findFirst()
                .orElseThrow();
    }

    @Test
    void rejectedAppendEndsTheCallsThatJoinedItsAttempts() {
        submit("first", "order", NOW.plusSeconds(60));
        submit("joined", "order", NOW.plusSeconds(60));
        writer.tick(NOW.plusSeconds(1), effects);
        writer.appendRejected(append(effects.drain()), FAILURE, effects);
        assertEquals(List.of("first", "joined"), refusals(effects.drain()));
    }

    @Test
    void callThatJoinedAnExpiredAttemptIsAppended() {
        submit("first", "order", NOW.plusSeconds(1));
        submit("joined", "order", NOW.plusSeconds(60));
        writer.tick(NOW.plusMillis(500), effects);
        effects.drain();
        writer.tick(NOW.plusSeconds(2), effects);
        writer.tick(NOW.plusSeconds(3), effects);
        List<Effect> drained = effects.drain();
        assertEquals(List.of("first"), refusals(drained));
        append(drained);
    }

    @Test
    void intentStoredAfterItsAttemptWasEvictedReleasesTheKey() {
        submit("first", "order", NOW.plusSeconds(1));
        writer.tick(NOW.plusMillis(500), effects);
        CallRecord intent = (CallRecord) effects.drain().stream()
                .filter(Effect.AppendToLog.class::isInstance)
                .flatMap(effect -> ((Effect.AppendToLog) effect).entries().stream())
                .findFirst()
                .orElseThrow();
        writer.tick(NOW.plusSeconds(2), effects);
        writer.tick(NOW.plusSeconds(100), effects);
        effects.drain();
        writer.read(0, NOW.plusSeconds(101), intent, NOW.plusSeconds(101), effects);
        writer.tick(NOW.plusSeconds(102), effects);
        List<LogEntry> appended = effects.drain().stream()
                .filter(Effect.AppendToLog.class::isInstance)
                .flatMap(effect -> ((Effect.AppendToLog) effect).entries().stream())
                .distinct()
                .toList();
        assertEquals(List.of(new CallRecord.NotRun(intent.key(), intent.attempt())), appended);
    }

    @Test
    void answeredCallsDoNotSlowDownTicks() {
        for (int call = 0; call < ANSWERED_CALLS; call++) {
            submit("attempt-" + call, "order-" + call, NOW.plusSeconds(60));
        }
        writer.tick(NOW.plusSeconds(1), effects);
        writer.appendRejected(append(effects.drain()), FAILURE, effects);
        effects.drain();
        long start = System.nanoTime();
        for (int tick = 0; tick < TICKS; tick++) {
            writer.tick(NOW.plusSeconds(1).plusMillis(tick), effects);
        }
        long micros = (System.nanoTime() - start) / 1_000 / TICKS;
        System.out.println("tick with " + ANSWERED_CALLS + " answered calls: " + micros + " us");
        // 8 writers tick every 50 ms; all control work may use 1.8 % of a core, which is 900 us per tick.
        assertTrue(micros * LogStreams.CALL_PARTITIONS < 900, micros + " us");
    }
}
