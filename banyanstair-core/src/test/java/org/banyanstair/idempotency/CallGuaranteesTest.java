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
 * Guards promises 4 and 5: a key is dispatched twice, a call runs after its caller was told "not run", or a caller gets
 * an answer that is not the one of its order.
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

    /** A duplicate of a submission that arrived after the writer had forgotten the attempt was answered "not run". */
    @Example
    void duplicateOfAForgottenAttemptIsNotAnswered() {
        assertEquals(List.of(), new CallSimulation(-5370945664325229284L).run());
    }

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.randomValue(Random::nextLong);
    }

    /** Without answers of each kind the property would hold trivially. */
    @AfterContainer
    static void everyOutcomeOccurred() {
        System.out.println("seed 4501, outcomes: " + TOTALS);
        for (CallSimulation.Kind kind : CallSimulation.Kind.values()) {
            assertTrue(TOTALS.getOrDefault(kind, 0) > 1_000, kind + ": " + TOTALS);
        }
    }
}
