package org.banyanstair.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.banyanstair.model.PresetId;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against hosts that diverge because they started from different checkpoints of the same log. */
class CheckpointConvergenceTest {
    private static final List<String> PRESETS = List.of("ordinary", "peak", "maintenance");

    /** Creates a log with repeated change ids and with base versions that no host had when the change was appended. */
    private static List<ConfigurationChange> randomLog(Random random, int length) {
        List<ConfigurationChange> log = new ArrayList<>();
        for (int offset = 0; offset < length; offset++) {
            if (offset > 0 && random.nextInt(4) == 0) {
                log.add(log.get(random.nextInt(offset)));
            } else {
                PresetId preset = new PresetId(PRESETS.get(random.nextInt(3)));
                log.add(new ConfigurationChange(
                        "change-" + offset,
                        random.nextInt(length) - 1L,
                        "operator",
                        List.of(new Operation.UsePreset(preset))));
            }
        }
        return log;
    }

    private static void apply(ConfigurationStateMachine stateMachine, List<ConfigurationChange> log, int from, int to) {
        for (int offset = from; offset < to; offset++) {
            stateMachine.apply(offset, log.get(offset));
        }
    }

    @Property(seed = "8103", tries = 500)
    void hostThatStartedFromACheckpointAgreesWithOneThatReadTheWholeLog(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int length) {
        Random random = new Random(seed);
        List<ConfigurationChange> log = randomLog(random, length);
        int checkpoint = random.nextInt(length + 1);
        ConfigurationStateMachine complete = new ConfigurationStateMachine();
        complete.initializeEmpty();
        apply(complete, log, 0, checkpoint);
        ConfigurationStateMachine fromCheckpoint = new ConfigurationStateMachine();
        CheckpointPart.of(complete.current(), checkpoint).forEach(fromCheckpoint::applyCheckpointPart);
        apply(complete, log, checkpoint, length);
        apply(fromCheckpoint, log, checkpoint, length);
        if (checkpoint > 0) {
            assertEquals(complete.current(), fromCheckpoint.current());
        }
    }
}
