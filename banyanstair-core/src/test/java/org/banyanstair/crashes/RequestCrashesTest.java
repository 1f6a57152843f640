package org.banyanstair.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.banyanstair.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Crashes of endpoints counted by request. */
class RequestCrashesTest {
    private static final long REQUEST = 7;

    private static final Instant START = Instant.ofEpochSecond(1000);

    private static EndpointCrash crash(int number, int milliseconds) {
        return new EndpointCrash(new EndpointId("e-" + number), 1, START.plusMillis(milliseconds), false);
    }

    private static Instant at(int milliseconds) {
        return START.plusMillis(milliseconds);
    }

    private static RequestCrashes withCrashes(int count) {
        RequestCrashes crashes = new RequestCrashes();
        for (int number = 0; number < count; number++) {
            crashes.add(REQUEST, true, crash(number, 700 * number), at(700 * number));
        }
        return crashes;
    }

    @Test
    void requestIsRefusedAfterThreeCrashesUntilTheyLapse() {
        assertFalse(withCrashes(2).isRefused(REQUEST, at(2000)));
        RequestCrashes crashes = withCrashes(3);
        assertTrue(crashes.isRefused(REQUEST, at(2000)));
        assertFalse(crashes.isRefused(REQUEST + 1, at(2000)));
        assertFalse(crashes.isRefused(REQUEST, at(2000).plus(Duration.ofMinutes(11))));
    }

    @Test
    void similarRequestsAreRefusedUnlessTheCrashesAreDueToOneOfThem() {
        RequestCrashes crashes = new RequestCrashes();
        long shared = REQUEST + 1;
        for (int number = 0; number < 3; number++) {
            crashes.add(shared, false, crash(number, 700 * number), at(700 * number));
        }
        assertTrue(crashes.isRefused(shared, at(2000)));
        for (int number = 0; number < 3; number++) {
            crashes.add(REQUEST, true, crash(number, 700 * number), at(2000));
        }
        assertTrue(crashes.isRefused(REQUEST, at(2500)));
        assertFalse(crashes.isRefused(shared, at(2500)));
        assertEquals(Set.of(REQUEST), crashes.refused(at(2500)));
    }

    /** Guards against refusing a popular request of which copies ran on each endpoint that another one crashed. */
    @Test
    void furtherCrashDecidesBetweenRequestsThatWereOnTheSameEndpoints() {
        RequestCrashes crashes = withCrashes(3);
        long popular = REQUEST + 1;
        for (int number = 0; number < 3; number++) {
            crashes.add(popular, true, crash(number, 700 * number), at(2000));
        }
        assertEquals(Set.of(), crashes.refused(at(2500)));
        crashes.add(REQUEST, true, crash(3, 2600), at(2600));
        assertEquals(Set.of(REQUEST), crashes.refused(at(3000)));
    }

    @Test
    void completionDecidesBetweenRequestsThatWereOnTheSameEndpoints() {
        RequestCrashes crashes = withCrashes(3);
        long popular = REQUEST + 1;
        for (int number = 0; number < 3; number++) {
            crashes.add(popular, true, crash(number, 700 * number), at(2000));
        }
        crashes.completed(popular, at(2050));
        assertEquals(Set.of(REQUEST), crashes.refused(at(2500)));
    }

    @Test
    void requestIsRefusedAfterFiveCrashesWhateverElseWasOnTheEndpoints() {
        RequestCrashes crashes = withCrashes(5);
        long popular = REQUEST + 1;
        for (int number = 0; number < 5; number++) {
            crashes.add(popular, true, crash(number, 700 * number), at(3000));
        }
        assertTrue(crashes.isRefused(REQUEST, at(3500)));
    }

    @Test
    void oneCrashReportedBySeveralHostsCountsOnce() {
        RequestCrashes crashes = withCrashes(1);
        crashes.add(REQUEST, true, crash(0, 300), at(400));
        crashes.add(REQUEST, true, crash(0, 900), at(1000));
        assertEquals(1, crashes.count(REQUEST, at(1000)));
    }

    /** Guards against refusing a request of which copies ran on the endpoints of a lost rack. */
    @Test
    void simultaneousCrashesCountOnce() {
        RequestCrashes crashes = new RequestCrashes();
        for (int number = 0; number < 5; number++) {
            crashes.add(REQUEST, true, crash(number, number * 5), at(100));
        }
        assertFalse(crashes.isRefused(REQUEST, at(200)));
    }

    @Test
    void completionClearsTheCrashesBeforeItOnly() {
        RequestCrashes crashes = withCrashes(3);
        assertEquals(2, crashes.completed(REQUEST, at(1000)));
        assertEquals(1, crashes.count(REQUEST, at(2000)));
    }

    @Test
    void completionClearsAnEarlierCrashThatIsReportedLater() {
        RequestCrashes crashes = new RequestCrashes();
        crashes.completed(REQUEST, at(1000));
        crashes.add(REQUEST, true, crash(0, 500), at(1500));
        assertEquals(0, crashes.count(REQUEST, at(1500)));
        crashes.add(REQUEST, true, crash(1, 1100), at(1600));
        assertEquals(1, crashes.count(REQUEST, at(1600)));
    }

    @Test
    void refusedRequestIsNotForgottenForTheSakeOfOthers() {
        RequestCrashes crashes = withCrashes(3);
        for (int other = 100; other < 10_000; other++) {
            crashes.add(other, true, crash(9, 3000), at(3000));
        }
        assertTrue(crashes.isRefused(REQUEST, at(3500)));
    }

    /** Guards against a crash that is forgotten for later ones and taken for news with each heartbeat of a peer. */
    @Test
    void crashOlderThanThoseThatAreKeptIsNoNews() {
        RequestCrashes crashes = new RequestCrashes();
        for (int number = 1; number <= 6; number++) {
            crashes.add(REQUEST, true, crash(number, 700 * number), at(700 * number));
        }
        assertFalse(crashes.add(REQUEST, true, crash(0, 0), at(5000)));
        assertEquals(6, crashes.count(REQUEST, at(5000)));
    }

    @Test
    void requestIsRecordedAgainOnlyWhileTheLogLacksSomething() {
        RequestCrashes crashes = withCrashes(1);
        assertEquals(List.of(), crashes.unrecorded(at(10)));
        crashes = withCrashes(2);
        List<CrashedRequest> missing = crashes.unrecorded(at(800));
        assertEquals(1, missing.size());
        crashes.recordRead(missing.get(0));
        assertEquals(List.of(), crashes.unrecorded(at(800)));
        crashes.completed(REQUEST, at(900));
        assertEquals(1, crashes.unrecorded(at(900)).size(), "the log says that the crashes count");
    }

    @Property(tries = 300)
    void hostsThatExchangeWhatTheyKnowAgree(@ForAll long seed) {
        Random random = new Random(seed);
        List<EndpointCrash> known = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            known.add(new EndpointCrash(
                    new EndpointId("e-" + number % 4), number / 4, at(random.nextInt(3000)), random.nextInt(4) == 0));
        }
        List<Integer> counts = new ArrayList<>();
        for (int host = 0; host < 3; host++) {
            Collections.shuffle(known, random);
            RequestCrashes crashes = new RequestCrashes();
            known.forEach(crash -> crashes.add(REQUEST, true, crash, at(4000)));
            known.forEach(crash -> crashes.add(REQUEST, true, crash, at(4000)));
            counts.add(crashes.count(REQUEST, at(4000)));
        }
        assertEquals(1, counts.stream().distinct().count(), counts.toString());
    }
}
