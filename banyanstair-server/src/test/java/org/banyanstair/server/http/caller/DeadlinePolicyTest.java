package org.banyanstair.server.http.caller;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a maximum deadline that ignores the settings. */
class DeadlinePolicyTest {
    private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");

    private final DeadlinePolicy policy =
            new DeadlinePolicy(Clock.fixed(NOW, ZoneOffset.UTC), Duration.ofSeconds(2), Duration.ofSeconds(5));

    @Test
    void deadlineUpToTheLongestWaitIsAccepted() {
        assertEquals(NOW.plusSeconds(5), policy.check(NOW.plusSeconds(5)));
        assertEquals(NOW.plusSeconds(2), policy.defaultDeadline());
    }

    @Test
    void laterAndPassedDeadlinesAreRefusedWithTheAcceptedRange() {
        FailureException far = assertThrows(FailureException.class, () -> policy.check(NOW.plusSeconds(6)));
        assertEquals(new Failure.DeadlineTooFar(NOW.plusSeconds(6), NOW.plusSeconds(5)), far.failure());
        FailureException passed = assertThrows(FailureException.class, () -> policy.check(NOW));
        assertEquals(new Failure.DeadlinePassed(NOW), passed.failure());
    }
}
