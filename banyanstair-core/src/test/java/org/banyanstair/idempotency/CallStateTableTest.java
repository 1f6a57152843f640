package org.banyanstair.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.banyanstair.external.ServiceAnswer;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.ServiceId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against two attempts that hold the same key in turn, and against the dispatch of a voided attempt. */
class CallStateTableTest {
    private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
    private static final CallKey KEY = new CallKey(new CallerId("clerk"), new ServiceId("order-desk"), "order-1");
    private static final HostIdentity WRITER = new HostIdentity(new HostId("entry-1"), 1);
    private static final ServiceAnswer ANSWER = new ServiceAnswer(201, Optional.empty(), new byte[0]);

    private static CallRecord record(int kind, AttemptId attempt) {
        return switch (kind) {
            case 0, 1 -> new CallRecord.Intent(KEY, attempt, WRITER, "digest", NOW);
            case 2 -> new CallRecord.Void(KEY, attempt);
            case 3 -> new CallRecord.NotRun(KEY, attempt);
            case 4 -> new CallRecord.Result(KEY, attempt, ANSWER);
            default -> new CallRecord.Unknown(KEY, attempt);
        };
    }

    @Property(seed = "5101", tries = 1000)
    void attemptThatHeldTheKeyIsFollowedByAnotherOnlyIfItIsDead(@ForAll long seed) {
        Random random = new Random(seed);
        CallStateTable states = new CallStateTable(Duration.ofMinutes(30));
        Set<AttemptId> held = new HashSet<>();
        Set<AttemptId> voidedBeforeHeld = new HashSet<>();
        for (int offset = 0; offset < 30; offset++) {
            AttemptId attempt = new AttemptId("attempt-" + random.nextInt(4));
            CallRecord record = record(random.nextInt(6), attempt);
            if (record instanceof CallRecord.Void && !held.contains(attempt)) {
                voidedBeforeHeld.add(attempt);
            }
            states.apply(offset, NOW, record);
            if (states.state(KEY) instanceof CallState.Held now) {
                assertFalse(voidedBeforeHeld.contains(now.attempt()));
                held.add(now.attempt());
                held.stream()
                        .filter(earlier -> !earlier.equals(now.attempt()))
                        .forEach(earlier -> assertTrue(states.isDead(KEY, earlier)));
            }
        }
    }

    @Test
    void voidDoesNotAffectAttemptThatHoldsTheKey() {
        CallStateTable states = new CallStateTable(Duration.ofMinutes(30));
        AttemptId first = new AttemptId("first");
        states.apply(0, NOW, new CallRecord.Intent(KEY, first, WRITER, "digest", NOW));
        states.apply(1, NOW, new CallRecord.Void(KEY, first));
        assertFalse(states.isDead(KEY, first));
        assertTrue(states.state(KEY) instanceof CallState.Held);
    }

    @Test
    void answerIsKeptUntilTheRetentionHasPassed() {
        CallStateTable states = new CallStateTable(Duration.ofMinutes(30));
        AttemptId attempt = new AttemptId("attempt");
        states.apply(0, NOW, new CallRecord.Intent(KEY, attempt, WRITER, "digest", NOW));
        states.apply(1, NOW, new CallRecord.Result(KEY, attempt, ANSWER));
        states.expire(NOW.plus(Duration.ofMinutes(30)));
        assertEquals(new CallState.Answered(attempt, "digest", ANSWER), states.state(KEY));
        states.expire(NOW.plus(Duration.ofMinutes(31)));
        assertEquals(0, states.size());
    }

    @Test
    void recordsBelowTheNextOffsetHaveNoEffect() {
        CallStateTable states = new CallStateTable(Duration.ofMinutes(30));
        AttemptId attempt = new AttemptId("attempt");
        states.apply(5, NOW, new CallRecord.Void(KEY, attempt));
        assertFalse(states.apply(3, NOW, new CallRecord.Intent(KEY, attempt, WRITER, "digest", NOW)));
        assertEquals(new CallState.Free(), states.state(KEY));
    }
}
