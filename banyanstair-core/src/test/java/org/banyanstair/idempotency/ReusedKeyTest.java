package org.banyanstair.idempotency;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.ServiceAnswer;
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

/**
 * Guards against a call with a reused key that stays unanswered because an earlier writer of the call is gone: a final
 * state of the key must prove that the attempt of that writer cannot run.
 */
class ReusedKeyTest {
    private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
    private static final Instant DEADLINE = NOW.plusSeconds(20);
    private static final CallKey KEY = new CallKey(new CallerId("clerk"), new ServiceId("order-desk"), "order-1");
    private static final HostIdentity EARLIER_WRITER = new HostIdentity(new HostId("entry-1"), 1);
    private static final HostId SUBMITTER = new HostId("entry-3");
    private static final AttemptId FIRST = new AttemptId("first");
    private static final AttemptId VOIDED = new AttemptId("voided");
    private static final AttemptId CURRENT = new AttemptId("current");

    private final CallWriter writer = new CallWriter(
            KEY.partition(),
            new Membership(new HostIdentity(new HostId("entry-2"), 1)),
            ReducerSettings.DEFAULT,
            new Sequence());

    @Test
    void finalStateOfAReusedKeyProvesThatVoidedAttemptsCannotRun() {
        CallAnswer.NotRun reused = new CallAnswer.NotRun(new Failure.IdempotencyKeyReused(KEY.key()));
        ServiceAnswer answer = new ServiceAnswer(201, Optional.empty(), new byte[0]);
        read(0, new CallRecord.Intent(KEY, FIRST, EARLIER_WRITER, "digest", DEADLINE));
        assertEquals(new PeerMessage.CallOutcome(CURRENT, reused, false), submit(CURRENT));
        read(1, new CallRecord.Result(KEY, FIRST, answer));
        AttemptId next = new AttemptId("next");
        assertEquals(new PeerMessage.CallOutcome(next, reused, true), submit(next));
    }

    @Test
    void unknownOutcomeIsAFinalStateToo() {
        CallAnswer.NotRun reused = new CallAnswer.NotRun(new Failure.IdempotencyKeyReused(KEY.key()));
        read(0, new CallRecord.Intent(KEY, FIRST, EARLIER_WRITER, "digest", DEADLINE));
        read(1, new CallRecord.Unknown(KEY, FIRST));
        assertEquals(new PeerMessage.CallOutcome(CURRENT, reused, true), submit(CURRENT));
    }

    private void read(long offset, CallRecord record) {
        writer.read(offset, NOW, record, NOW, new Effects());
    }

    private PeerMessage submit(AttemptId attempt) {
        ServiceCall call =
                new ServiceCall(new RequestId("r1"), "POST", "/orders", Optional.empty(), new byte[0], DEADLINE);
        Effects effects = new Effects();
        writer.submit(
                SUBMITTER,
                new PeerMessage.CallSubmit(
                        attempt,
                        KEY,
                        "another digest",
                        new PoolId("order-desk"),
                        call,
                        Set.of(VOIDED),
                        Optional.empty()),
                NOW,
                effects);
        List<Effect> sent = effects.drain();
        assertEquals(1, sent.size());
        return ((Effect.SendToPeer) sent.get(0)).message();
    }
}
