package org.banyanstair.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.banyanstair.model.EndpointId;
import org.banyanstair.peer.ObservedPart;
import org.banyanstair.peer.RefusedPart;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CrashAttributionTest {
    private static final Duration SETTLE_TIME = Duration.ofMillis(1200);

    private static final long FIRST = 1;

    private static final long SUBJECT = 20;

    private static final long DEADLY = 666;

    private final CrashAttribution attribution = new CrashAttribution(SETTLE_TIME);
    private Instant now = Instant.ofEpochSecond(1000);
    private int crashes;

    private void pass(long milliseconds) {
        now = now.plusMillis(milliseconds);
    }

    /** Crashes an endpoint that runs requests with these prompts and no output. */
    @SafeVarargs
    private void crash(List<Long>... prompts) {
        crashes++;
        for (List<Long> prompt : prompts) {
            attribution.addCrash(new EndpointId("endpoint-" + crashes), 1, now, prompt, now);
        }
        pass(400);
    }

    private void output(long... parts) {
        for (long part : parts) {
            attribution.addOutput(List.of(part), now);
        }
    }

    private Optional<Long> attribute() {
        pass(SETTLE_TIME.toMillis());
        return attribution.attribute(now).map(PartRefusal::part);
    }

    @Test
    void partWithoutOutputIsRefusedAfterThreeCrashes() {
        crash(List.of(FIRST, DEADLY), List.of(FIRST, 30L));
        crash(List.of(FIRST, DEADLY), List.of(FIRST, 31L));
        output(FIRST, 30, 31);
        assertEquals(Optional.empty(), attribute());
        crash(List.of(FIRST, DEADLY), List.of(FIRST, 32L));
        output(FIRST);
        assertEquals(Optional.of(DEADLY), attribute());
        assertTrue(attribution.refusedPart(List.of(FIRST, DEADLY), now).isPresent());
        assertFalse(attribution.refusedPart(List.of(FIRST, 32L), now).isPresent());
    }

    /** A subject that is asked for rarely has no output either, but its requests are not the cause. */
    @Test
    void mostSpecificOfNestedPartsIsRefused() {
        for (int index = 0; index < 3; index++) {
            crash(List.of(FIRST, SUBJECT, DEADLY), List.of(FIRST, SUBJECT));
        }
        output(FIRST);
        assertEquals(Optional.of(DEADLY), attribute());
        assertEquals(Optional.empty(), attribute(), "the crashes are explained");
    }

    @Test
    void subjectIsRefusedWhereNothingMoreSpecificRecurs() {
        for (long index = 0; index < 3; index++) {
            crash(List.of(FIRST, SUBJECT, 40 + index));
        }
        output(FIRST);
        assertEquals(Optional.of(SUBJECT), attribute());
    }

    @Test
    void twoPartsOnTheSameCrashesAreNotRefusedUntilOneLeads() {
        for (int index = 0; index < 3; index++) {
            crash(List.of(FIRST, DEADLY), List.of(FIRST, SUBJECT));
        }
        output(FIRST);
        assertEquals(Optional.empty(), attribute());
        crash(List.of(FIRST, DEADLY));
        output(FIRST);
        assertEquals(Optional.of(DEADLY), attribute());
    }

    @Test
    void twoDeadlyPartsAreBothRefused() {
        for (int index = 0; index < 3; index++) {
            crash(List.of(FIRST, DEADLY));
            crash(List.of(FIRST, SUBJECT));
        }
        output(FIRST);
        assertTrue(attribute().isPresent());
        assertTrue(attribute().isPresent());
        assertEquals(2, attribution.refusals(now).size());
    }

    @Test
    void nothingIsRefusedWhileNothingProducesOutput() {
        for (int index = 0; index < 4; index++) {
            crash(List.of(FIRST, DEADLY), List.of(FIRST, SUBJECT));
        }
        assertEquals(Optional.empty(), attribute());
    }

    /** A rack that fails takes several endpoints at once, each with requests for the same subject. */
    @Test
    void simultaneousCrashesCountOnce() {
        for (int index = 0; index < 6; index++) {
            crash(List.of(FIRST, SUBJECT));
            now = now.minusMillis(395);
        }
        output(FIRST);
        assertEquals(Optional.empty(), attribute());
    }

    @Test
    void partOnFewOfManyCrashesNeedsMore() {
        for (long index = 0; index < 3; index++) {
            crash(List.of(FIRST, DEADLY));
            crash(List.of(FIRST, 50 + index));
            crash(List.of(FIRST, 60 + index));
        }
        output(FIRST);
        assertEquals(Optional.empty(), attribute());
        crash(List.of(FIRST, DEADLY));
        crash(List.of(FIRST, DEADLY));
        output(FIRST);
        assertEquals(Optional.of(DEADLY), attribute());
    }

    /** An expired refusal must not explain new crashes, or the part would never be refused again. */
    @Test
    void partIsRefusedAgainAfterItsRefusalHasExpired() {
        for (int round = 0; round < 2; round++) {
            for (int index = 0; index < 3; index++) {
                crash(List.of(FIRST, DEADLY));
            }
            output(FIRST);
            assertEquals(Optional.of(DEADLY), attribute());
            pass(CrashAttribution.REFUSAL_RETENTION.toMillis());
        }
    }

    @Test
    void crashUnderARefusedPartProlongsItsRefusal() {
        PartRefusal refusal = new PartRefusal(DEADLY, 3, now.minusSeconds(2), now.plusSeconds(60));
        assertTrue(attribution.adopt(refusal, now));
        pass(50_000);
        crash(List.of(FIRST, DEADLY));
        pass(50_000);
        assertTrue(attribution.refusedPart(List.of(FIRST, DEADLY), now).isPresent());
    }

    @Test
    void outputEndsARefusal() {
        for (int index = 0; index < 3; index++) {
            crash(List.of(FIRST, SUBJECT));
        }
        output(FIRST);
        assertEquals(Optional.of(SUBJECT), attribute());
        assertEquals(1, attribution.addOutput(List.of(SUBJECT), now).size());
        assertFalse(attribution.refusedPart(List.of(FIRST, SUBJECT), now).isPresent());
    }

    /** Otherwise the refusal of a host that missed a report would spread to all. */
    @Test
    void refusalOfAPeerIsContestedByOutputSince() {
        Instant firstCrash = now;
        pass(1000);
        output(SUBJECT);
        PartRefusal refusal = new PartRefusal(SUBJECT, 3, firstCrash, now.plusSeconds(60));
        assertFalse(attribution.adopt(refusal, now));
        assertEquals(
                List.of(new ObservedPart(SUBJECT, 0)), attribution.evidence(now).observed());
    }

    @Test
    void refusalIsPassedOnWithItsRemainingTime() {
        PartRefusal refusal = new PartRefusal(DEADLY, 3, now.minusSeconds(2), now.plusSeconds(60));
        assertTrue(attribution.adopt(refusal, now));
        assertFalse(attribution.adopt(refusal, now), "known");
        pass(5000);
        assertEquals(
                List.of(new RefusedPart(DEADLY, 7000, 55_000)),
                attribution.evidence(now).refused());
        pass(55_000);
        assertFalse(attribution.refusedPart(List.of(FIRST, DEADLY), now).isPresent(), "expired");
    }

    @Test
    void outputThatAPeerHasReportedIsNotReportedAgain() {
        crash(List.of(FIRST, SUBJECT));
        output(FIRST, SUBJECT);
        attribution.addPeerOutput(FIRST, now);
        assertEquals(
                List.of(new ObservedPart(SUBJECT, 0)), attribution.evidence(now).observed());
    }
}
