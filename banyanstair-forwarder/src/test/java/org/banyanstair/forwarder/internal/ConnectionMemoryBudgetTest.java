package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.banyanstair.forwarding.DecisionRecord;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against memory for connections that grows without bound, and against ending the wrong connection. */
class ConnectionMemoryBudgetTest {
    private static final ConnectionMemoryBudget.Kind KIND = ConnectionMemoryBudget.Kind.RESPONSE;

    private Instant now = Instant.EPOCH;
    private final ConnectionMemoryBudget budget =
            new ConnectionMemoryBudget(new MemoryLimits(100, 100, 100), () -> now);
    private final List<String> evicted = new ArrayList<>();

    private ConnectionMemoryBudget.Account open(String name) {
        return budget.open(KIND, () -> evicted.add(name));
    }

    @Test
    void largestResponseIsEvictedFirst() {
        ConnectionMemoryBudget.Account small = open("small");
        small.set(10);
        open("middle").set(30);
        open("large").set(60);
        assertEquals(List.of(), evicted);
        small.set(11);
        assertEquals(List.of("large"), evicted);
        assertEquals(41, budget.heldBytes(KIND));
    }

    @Test
    void responseThatAloneExceedsBudgetIsEvicted() {
        open("only").set(101);
        assertEquals(List.of("only"), evicted);
        assertEquals(0, budget.heldBytes(KIND));
    }

    @Test
    void completedResponsesFreeTheirMemory() {
        for (int index = 0; index < 50; index++) {
            ConnectionMemoryBudget.Account account = open("any");
            account.set(90);
            account.set(0);
        }
        assertEquals(List.of(), evicted);
        assertEquals(0, budget.heldBytes(KIND));
    }

    @Test
    void callerWithoutProgressIsEvictedBeforeALargerOneThatReads() {
        ConnectionMemoryBudget.Account reading = open("reading");
        reading.set(60);
        open("stalled").set(30);
        now = now.plus(Duration.ofSeconds(4));
        reading.progressed();
        open("next").set(11);
        assertEquals(List.of("stalled"), evicted);
    }

    @Test
    void smallResponseThatPausesIsKeptRatherThanALargeOneThatGrows() {
        open("small").set(1);
        now = now.plus(Duration.ofSeconds(9));
        open("large").set(100);
        assertEquals(List.of("large"), evicted);
    }

    @Test
    void unreadResponseIsEvictedBeforeALargerOneThatIsBeingReceived() {
        budget.openUnread(KIND, () -> evicted.add("unread")).set(20);
        now = now.plus(Duration.ofMillis(600));
        open("received").set(81);
        assertEquals(List.of("unread"), evicted);
    }

    @Test
    void responseThatIsBeingReadIsNotPreferred() {
        ConnectionMemoryBudget.Account reading = budget.openUnread(KIND, () -> evicted.add("reading"));
        reading.set(20);
        now = now.plus(Duration.ofMillis(600));
        reading.progressed();
        open("endless").set(81);
        assertEquals(List.of("endless"), evicted);
    }

    @Test
    void evictedAccountCountsNothingAnyMore() {
        ConnectionMemoryBudget.Account account = open("large");
        account.set(200);
        account.set(50);
        assertEquals(0, budget.heldBytes(KIND));
        assertEquals(1, budget.evictions(KIND));
    }

    @Test
    void reservedResponsesDoNotEvictEachOther() {
        ConnectionMemoryBudget.Account first = open("first");
        ConnectionMemoryBudget.Account second = open("second");
        ConnectionMemoryBudget.Account third = open("third");
        assertTrue(first.reserve(40));
        assertTrue(second.reserve(35));
        assertFalse(third.reserve(40));
        first.set(40);
        second.set(35);
        assertEquals(List.of(), evicted);
        first.release();
        assertTrue(third.reserve(40));
        assertEquals(35, budget.heldBytes(KIND));
    }

    @Test
    void onlyUnreadResponsesMakeRoomForANewOne() {
        budget.openUnread(KIND, () -> evicted.add("unread")).set(60);
        assertFalse(open("early").reserve(40));
        now = now.plus(Duration.ofMillis(600));
        ConnectionMemoryBudget.Account reading = budget.openUnread(KIND, () -> evicted.add("reading"));
        reading.set(30);
        assertTrue(open("next").reserve(40));
        assertEquals(List.of("unread"), evicted);
        assertFalse(open("last").reserve(40));
        assertEquals(List.of("unread"), evicted);
    }

    @Test
    void evictedAndReleasedReservationsLeaveTheWholeLimit() {
        ConnectionMemoryBudget.Account account = open("long");
        assertTrue(account.reserve(50));
        account.set(101);
        assertEquals(List.of("long"), evicted);
        assertFalse(account.reserve(10));
        account.release();
        ConnectionMemoryBudget.Account whole = open("whole");
        assertTrue(whole.reserve(100));
        whole.release();
        whole.release();
        assertTrue(open("again").reserve(100));
    }

    /** An engineer could not tell answers that starve each other from callers that do not read. */
    @Test
    void evictionsAreCountedByStateAndLoggedOnceASecond() {
        List<DecisionRecord> log = new ArrayList<>();
        ConnectionMemoryBudget logged =
                new ConnectionMemoryBudget(new MemoryLimits(100, 100, 100), () -> now, log::add);
        now = now.plusSeconds(10);
        for (int round = 0; round < 30; round++) {
            logged.open(KIND, () -> {}).set(101);
            logged.openUnread(KIND, () -> {}).set(101);
            now = now.plusMillis(100);
        }
        assertEquals(30, logged.evictions().total(KIND, MemoryEvictions.State.ARRIVING));
        assertEquals(30, logged.evictions().total(KIND, MemoryEvictions.State.UNREAD));
        assertEquals(60, logged.evictions(KIND));
        assertEquals(
                List.of(1L, 10L, 10L),
                log.stream()
                        .filter(line -> "arriving".equals(line.fields().get("state")))
                        .map(line -> line.fields().get("evictions"))
                        .toList());
        assertEquals(6, log.size());
    }

    @Test
    void requestsThatWereReadAsAWholeAreNeverEvicted() {
        ConnectionMemoryBudget.Kind kind = ConnectionMemoryBudget.Kind.REQUEST;
        budget.openProtected(kind).set(95);
        assertTrue(budget.fits(kind, 5));
        assertFalse(budget.fits(kind, 6));
        assertTrue(budget.isScarce(kind));
        budget.open(kind, () -> evicted.add("upload")).set(6);
        assertEquals(List.of("upload"), evicted);
        assertEquals(95, budget.heldBytes(kind));
    }

    @Test
    void limitIsKeptWhateverTheOrderOfChanges() {
        Random random = new Random(350);
        List<ConnectionMemoryBudget.Account> accounts = new ArrayList<>();
        for (int step = 0; step < 20_000; step++) {
            now = now.plusMillis(random.nextInt(200));
            if (accounts.size() < 40) {
                accounts.add(open("any"));
            }
            int index = random.nextInt(accounts.size());
            if (random.nextInt(20) == 0) {
                accounts.remove(index).set(0);
            } else if (random.nextInt(4) == 0) {
                accounts.get(index).progressed();
            } else {
                accounts.get(index).set(random.nextInt(60));
            }
            assertTrue(budget.heldBytes(KIND) <= 100, "step " + step);
        }
        accounts.forEach(account -> account.set(0));
        assertEquals(0, budget.heldBytes(KIND));
    }
}
