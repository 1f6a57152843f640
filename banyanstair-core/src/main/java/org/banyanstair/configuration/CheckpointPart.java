package org.banyanstair.configuration;

import java.util.ArrayList;
import java.util.List;

import org.banyanstair.external.LogEntry;

/**
 * One part of a configuration checkpoint, which is split so that each part fits into a log record and a frame.
 *
 * @param nextOffset offset in the stream {@code configuration} of the first change that is not included
 * @param part number of the part, from 0
 * @param operations operations of this part; those of all parts in order build the configuration
 */
public record CheckpointPart(long version, long nextOffset, int part, int parts, List<Operation> operations)
        implements LogEntry {
    private static final int OPERATIONS_PER_PART = 2_000;

    /** Copies the list. */
    public CheckpointPart {
        operations = List.copyOf(operations);
    }

    /**
     * Splits a configuration into parts.
     *
     * @param nextOffset offset of the first change that is not included
     */
    public static List<CheckpointPart> of(Configuration configuration, long nextOffset) {
        List<Operation> operations = configuration.operations();
        int parts = Math.max(1, (operations.size() + OPERATIONS_PER_PART - 1) / OPERATIONS_PER_PART);
        List<CheckpointPart> result = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            int from = part * OPERATIONS_PER_PART;
            int to = Math.min(operations.size(), from + OPERATIONS_PER_PART);
            result.add(
                    new CheckpointPart(configuration.version(), nextOffset, part, parts, operations.subList(from, to)));
        }
        return result;
    }
}
