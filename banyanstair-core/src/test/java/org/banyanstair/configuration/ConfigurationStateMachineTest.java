package org.banyanstair.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.banyanstair.errors.Failure;
import org.banyanstair.model.PresetId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an accepted configuration that reverts, and against concurrent changes that are both accepted. */
class ConfigurationStateMachineTest {
    private static final List<String> PRESETS = List.of("ordinary", "peak", "maintenance");

    private static ConfigurationChange usePreset(String id, long base, String preset) {
        return new ConfigurationChange(id, base, "operator", List.of(new Operation.UsePreset(new PresetId(preset))));
    }

    /** Creates a log in which each change is based on a version that its author may have seen. */
    private static List<ConfigurationChange> randomLog(long seed, int length) {
        Random random = new Random(seed);
        List<ConfigurationChange> log = new ArrayList<>();
        for (int offset = 0; offset < length; offset++) {
            long base = random.nextInt(offset + 1) - 1L;
            if (random.nextBoolean()) {
                base = replay(log).current().version();
            }
            log.add(usePreset("change-" + offset, base, PRESETS.get(random.nextInt(3))));
        }
        return log;
    }

    private static ConfigurationStateMachine replay(List<ConfigurationChange> log) {
        ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
        stateMachine.initializeEmpty();
        for (int offset = 0; offset < log.size(); offset++) {
            stateMachine.apply(offset, log.get(offset));
        }
        return stateMachine;
    }

    @Property(seed = "8101", tries = 300)
    void versionNeverRevertsInAnyOrderOfRecordsAndCheckpoints(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int length) {
        List<ConfigurationChange> log = randomLog(seed, length);
        Random random = new Random(seed + 1);
        ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
        stateMachine.initializeEmpty();
        long version = stateMachine.current().version();
        for (int step = 0; step < 6 * length; step++) {
            if (random.nextInt(5) == 0) {
                int known = random.nextInt(length + 1);
                Configuration earlier = replay(log.subList(0, known)).current();
                CheckpointPart.of(earlier, known).forEach(stateMachine::applyCheckpointPart);
            } else {
                int offset = random.nextInt(length);
                stateMachine.apply(offset, log.get(offset));
            }
            assertTrue(stateMachine.current().version() >= version);
            version = stateMachine.current().version();
            Configuration expected =
                    replay(log.subList(0, (int) stateMachine.nextOffset())).current();
            assertEquals(expected, stateMachine.current());
            assertTrue(stateMachine
                    .current()
                    .presets()
                    .containsKey(stateMachine.current().presetInForce()));
        }
    }

    @Property(seed = "8102", tries = 300)
    void exactlyOneOfTheChangesWithTheSameBaseIsAccepted(@ForAll @IntRange(min = 2, max = 9) int operators) {
        ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
        stateMachine.initializeEmpty();
        int accepted = 0;
        for (int offset = 0; offset < operators; offset++) {
            ChangeVerdict verdict = stateMachine
                    .apply(offset, usePreset("change-" + offset, -1, PRESETS.get(offset % 3)))
                    .orElseThrow();
            if (verdict instanceof ChangeVerdict.Accepted) {
                accepted++;
            } else {
                assertEquals(new ChangeVerdict.Refused(new Failure.ConfigurationConflict(-1, 0)), verdict);
            }
        }
        assertEquals(1, accepted);
    }

    @Test
    void changeThatWasAppendedTwiceKeepsItsFirstVerdict() {
        ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
        stateMachine.initializeEmpty();
        ConfigurationChange change = usePreset("change", -1, "peak");
        assertEquals(Optional.of(new ChangeVerdict.Accepted(0)), stateMachine.apply(0, change));
        assertEquals(Optional.of(new ChangeVerdict.Accepted(0)), stateMachine.apply(1, change));
        assertEquals(0, stateMachine.current().version());
    }

    @Test
    void changeThatCannotBeAppliedLeavesTheVersion() {
        ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
        stateMachine.initializeEmpty();
        stateMachine.apply(0, usePreset("change", -1, "no-such-preset"));
        assertEquals(Configuration.INITIAL, stateMachine.current());
        assertEquals(1, stateMachine.nextOffset());
    }

    @Test
    void nothingIsAppliedBeforeInitialization() {
        ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
        assertEquals(Optional.empty(), stateMachine.apply(7, usePreset("change", -1, "peak")));
        assertFalse(stateMachine.isInitialized());
    }

    @Test
    void applyingTheDifferenceGivesTheDeclarations() {
        Declarations wanted =
                new Declarations(List.of(), List.of(), List.of(), List.of(), Optional.of(new PresetId("peak")));
        List<Operation> operations = ConfigurationDifference.between(Configuration.INITIAL, wanted);
        Configuration reached = Configuration.INITIAL.apply(3, operations);
        assertEquals(new PresetId("peak"), reached.presetInForce());
        assertEquals(List.of(), ConfigurationDifference.between(reached, wanted));
    }
}
