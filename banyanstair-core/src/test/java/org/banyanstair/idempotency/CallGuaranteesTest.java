package org.banyanstair.idempotency;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a key that is dispatched twice, a call that is executed after it was answered as not run, and an
 * answer that belongs to another call.
 */
class CallGuaranteesTest {
    private static final Map<CallSimulation.Kind, Integer> TOTALS = new EnumMap<>(CallSimulation.Kind.class);

    @Property(seed = "4501", tries = 6_000, shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    void callsRunAtMostOnceAndNeverAfterNotRun(@ForAll("seeds") long seed) {
        CallSimulation simulation = new CallSimulation(seed);
        List<String> violations = simulation.run();
        simulation.answers().forEach((kind, count) -> TOTALS.merge(kind, count, Integer::sum));
        assertEquals(List.of(), violations, "schedule of seed " + seed);
    }

    /** A duplicate submission that arrived after the writer had evicted the attempt was answered as not run. */
    @Example
    void duplicateOfAnEvictedAttemptIsNotAnswered() {
        assertEquals(List.of(), new CallSimulation(-5370945664325229284L).run());
    }

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.randomValue(Random::nextLong);
    }

    /** The property would hold trivially if some kind of answer did not occur. */
    @AfterContainer
    static void everyOutcomeOccurred() {
        System.out.println("seed 4501, outcomes: " + TOTALS);
        for (CallSimulation.Kind kind : CallSimulation.Kind.values()) {
            assertTrue(TOTALS.getOrDefault(kind, 0) > 1_000, kind + ": " + TOTALS);
        }
    }
}
