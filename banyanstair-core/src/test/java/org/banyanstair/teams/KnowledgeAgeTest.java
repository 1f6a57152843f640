package org.banyanstair.teams;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against knowledge that counts as younger than it is. */
class KnowledgeAgeTest {
    private static final Instant START = Instant.ofEpochSecond(50);

    private static final Duration LIMIT = Duration.ofSeconds(4);

    private final KnowledgeAge knowledge = new KnowledgeAge();

    private static Instant after(int milliseconds) {
        return START.plusMillis(milliseconds);
    }

    private Optional<Duration> ageAfter(int milliseconds) {
        return knowledge.age(after(milliseconds));
    }

    @Test
    void unconfirmedKnowledgeHasNoAge() {
        assertTrue(ageAfter(0).isEmpty() && knowledge.source().isEmpty());
        assertFalse(knowledge.isYoungerThan(LIMIT, START));
    }

    @Test
    void olderConfirmationDoesNotReplaceANewerOne() {
        knowledge.confirmByLog(after(1000));
        knowledge.confirmByPeer(after(1500), Duration.ofMillis(600));
        knowledge.confirmByLog(after(900));
        assertEquals(Optional.of(Duration.ofMillis(1000)), ageAfter(2000));
        assertEquals(Optional.of(KnowledgeSource.LOG), knowledge.source());
        knowledge.confirmByPeer(after(1500), Duration.ofMillis(400));
        assertEquals(Optional.of(Duration.ofMillis(900)), ageAfter(2000));
        assertEquals(Optional.of(KnowledgeSource.PEER), knowledge.source());
    }

    @Test
    void knowledgeIsUsableBeforeTheLimitOnly() {
        knowledge.confirmByLog(START);
        assertTrue(knowledge.isYoungerThan(LIMIT, after(3999)));
        assertFalse(knowledge.isYoungerThan(LIMIT, after(4000)));
    }

    @Test
    void negativeAgeOfAPeerConfirmsNothing() {
        knowledge.confirmByPeer(START, Duration.ofMillis(-1));
        assertTrue(ageAfter(0).isEmpty());
    }

    @Test
    void whatWasSentBeforeASuspensionConfirmsNothing() {
        knowledge.confirmByLog(START);
        knowledge.invalidate(after(1000));
        assertTrue(ageAfter(1000).isEmpty() && knowledge.source().isEmpty());
        knowledge.confirmByLog(after(999));
        knowledge.confirmByPeer(after(999), Duration.ZERO);
        assertTrue(ageAfter(1000).isEmpty());
        knowledge.confirmByPeer(after(1100), Duration.ofMillis(500));
        assertEquals(Optional.of(Duration.ofMillis(700)), ageAfter(1300), "the suspension does not concern the peer");
    }
}
