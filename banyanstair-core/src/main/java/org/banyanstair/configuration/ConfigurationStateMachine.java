package org.banyanstair.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/**
 * Replicated state machine that applies the stream {@code configuration} to get the configuration in force.
 *
 * <p>Every host applies the same records in the same order and so reaches the same verdicts. The state never reverts: a
 * record below the next offset and a checkpoint that includes fewer changes have no effect. Not thread-safe.
 */
public final class ConfigurationStateMachine {
    private static final int MAXIMUM_VERDICTS = 4_096;

    private Configuration current = Configuration.INITIAL;
    private long nextOffset = -1;
    private final List<CheckpointPart> checkpointParts = new ArrayList<>();
    private final Map<String, ChangeVerdict> verdicts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ChangeVerdict> eldest) {
            return size() > MAXIMUM_VERDICTS;
        }
    };

    /**
     * Returns whether a configuration is known.
     *
     * @return false until the start of the stream or a checkpoint has been read
     */
    public boolean isInitialized() {
        return nextOffset >= 0;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration; {@link Configuration#INITIAL} until one is known
     */
    public Configuration current() {
        return current;
    }

    /**
     * Returns the offset of the next change to apply.
     *
     * @return the offset, -1 until a configuration is known
     */
    public long nextOffset() {
        return nextOffset;
    }

    /** Starts with the initial configuration at offset 0, if no configuration is known yet. */
    public void initializeEmpty() {
        if (!isInitialized()) {
            nextOffset = 0;
        }
    }

    /**
     * Applies the next record of the stream.
     *
     * @return the verdict; empty if the record does not have the next offset
     */
    public Optional<ChangeVerdict> apply(long offset, ConfigurationChange change) {
        if (!isInitialized() || offset != nextOffset) {
            return Optional.empty();
        }
        nextOffset = offset + 1;
        // The decision must not depend on cached verdicts: a host that started from a checkpoint lacks the earlier
        // ones.
        ChangeVerdict decided = decide(offset, change);
        ChangeVerdict verdict = verdicts.merge(
                change.changeId(),
                decided,
                (earlier, later) -> later instanceof ChangeVerdict.Accepted ? later : earlier);
        return Optional.of(verdict);
    }

    private ChangeVerdict decide(long offset, ConfigurationChange change) {
        if (change.baseVersion() != current.version()) {
            return new ChangeVerdict.Refused(
                    new Failure.ConfigurationConflict(change.baseVersion(), current.version()));
        }
        try {
            current = current.apply(offset, change.operations());
            return new ChangeVerdict.Accepted(offset);
        } catch (FailureException exception) {
            return new ChangeVerdict.Refused(exception.failure());
        }
    }

    /** Skips a record of the stream that could not be decoded. */
    public void skip(long offset) {
        if (isInitialized() && offset == nextOffset) {
            nextOffset = offset + 1;
        }
    }

    /**
     * Collects a part of a checkpoint and applies the checkpoint after its last part. Parts must come in order.
     *
     * @return true if a checkpoint was applied that is newer than the current state
     */
    public boolean applyCheckpointPart(CheckpointPart part) {
        if (part.part() == 0) {
            checkpointParts.clear();
        }
        boolean follows = checkpointParts.size() == part.part()
                && (checkpointParts.isEmpty() || checkpointParts.get(0).nextOffset() == part.nextOffset());
        if (!follows) {
            checkpointParts.clear();
            return false;
        }
        checkpointParts.add(part);
        if (checkpointParts.size() < part.parts()) {
            return false;
        }
        List<Operation> operations = checkpointParts.stream()
                .flatMap(each -> each.operations().stream())
                .toList();
        checkpointParts.clear();
        return restore(part.version(), part.nextOffset(), operations);
    }

    private boolean restore(long version, long checkpointOffset, List<Operation> operations) {
        if (checkpointOffset <= nextOffset) {
            return false;
        }
        current = Configuration.INITIAL.apply(version, operations);
        nextOffset = checkpointOffset;
        return true;
    }

    /**
     * Finds the verdict on a change.
     *
     * @return the verdict, empty if the change has not been applied here or its verdict has been evicted
     */
    public Optional<ChangeVerdict> verdict(String changeId) {
        return Optional.ofNullable(verdicts.get(changeId));
    }
}
