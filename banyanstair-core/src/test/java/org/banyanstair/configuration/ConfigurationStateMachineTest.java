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
        ConfigurationStateMachine history = new ConfigurationStateMachine();
        history.startEmpty();
        for (int offset = 0; offset < log.size(); offset++) {
            history.apply(offset, log.get(offset));
        }
        return history;
    }

    @Property(seed = "8101", tries = 300)
    void versionsNeverGoBackWhateverOrderRecordsAndCheckpointsCome(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int length) {
        List<ConfigurationChange> log = randomLog(seed, length);
        Random random = new Random(seed + 1);
        ConfigurationStateMachine history = new ConfigurationStateMachine();
        history.startEmpty();
        long version = history.current().version();
        for (int step = 0; step < 6 * length; step++) {
            if (random.nextInt(5) == 0) {
                int known = random.nextInt(length + 1);
                Configuration earlier = replay(log.subList(0, known)).current();
                CheckpointPart.of(earlier, known).forEach(history::offer);
            } else {
                int offset = random.nextInt(length);
                history.apply(offset, log.get(offset));
            }
            assertTrue(history.current().version() >= version);
            version = history.current().version();
            Configuration expected =
                    replay(log.subList(0, (int) history.nextOffset())).current();
            assertEquals(expected, history.current());
            assertTrue(history.current().presets().containsKey(history.current().presetInForce()));
        }
    }

    @Property(seed = "8102", tries = 300)
    void exactlyOneOfTheChangesWithTheSameBaseWins(@ForAll @IntRange(min = 2, max = 9) int operators) {
        ConfigurationStateMachine history = new ConfigurationStateMachine();
        history.startEmpty();
        int accepted = 0;
        for (int offset = 0; offset < operators; offset++) {
            ChangeVerdict verdict = history.apply(offset, usePreset("change-" + offset, -1, PRESETS.get(offset % 3)))
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
        ConfigurationStateMachine history = new ConfigurationStateMachine();
        history.startEmpty();
        ConfigurationChange change = usePreset("change", -1, "peak");
        assertEquals(Optional.of(new ChangeVerdict.Accepted(0)), history.apply(0, change));
        assertEquals(Optional.of(new ChangeVerdict.Accepted(0)), history.apply(1, change));
        assertEquals(0, history.current().version());
    }

    @Test
    void changeThatCannotBeAppliedLeavesTheVersion() {
        ConfigurationStateMachine history = new ConfigurationStateMachine();
        history.startEmpty();
        history.apply(0, usePreset("change", -1, "no-such-preset"));
        assertEquals(Configuration.INITIAL, history.current());
        assertEquals(1, history.nextOffset());
    }

    @Test
    void nothingIsAppliedBeforeTheStartIsKnown() {
        ConfigurationStateMachine history = new ConfigurationStateMachine();
        assertEquals(Optional.empty(), history.apply(7, usePreset("change", -1, "peak")));
        assertFalse(history.isKnown());
    }

    @Test
    void differenceLeadsToTheDeclarations() {
        Declarations wanted =
                new Declarations(List.of(), List.of(), List.of(), List.of(), Optional.of(new PresetId("peak")));
        List<Operation> operations = ConfigurationDifference.between(Configuration.INITIAL, wanted);
        Configuration reached = Configuration.INITIAL.apply(3, operations);
        assertEquals(new PresetId("peak"), reached.presetInForce());
        assertEquals(List.of(), ConfigurationDifference.between(reached, wanted));
    }
}
