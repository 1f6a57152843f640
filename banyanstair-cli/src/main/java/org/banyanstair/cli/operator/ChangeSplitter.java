package org.banyanstair.cli.operator;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.banyanstair.codec.Mappers;
import org.banyanstair.configuration.Operation;

/** Splits the operations of a large change, because a change must fit into one record of the log. */
public final class ChangeSplitter {
    /** Maximum number of operations per part of a change that has to be split. */
    public static final int MAXIMUM_OPERATIONS_PER_PART = 4_000;

    /** A change is limited to 1 MiB; 4 KiB are reserved for its id, base version and author. */
    private static final int MAXIMUM_BYTES_PER_PART = (1 << 20) - (1 << 12);

    private ChangeSplitter() {}

    /**
     * Splits operations into parts that are submitted as separate changes.
     *
     * @param operations operations in the order in which they are applied
     * @return one part if the operations fit, else parts of at most {@link #MAXIMUM_OPERATIONS_PER_PART} operations
     */
    public static List<List<Operation>> split(List<Operation> operations) {
        int[] sizes = operations.stream().mapToInt(ChangeSplitter::size).toArray();
        long total = 0;
        for (int size : sizes) {
            total += size;
        }
        return total <= MAXIMUM_BYTES_PER_PART ? List.of(operations) : split(operations, sizes);
    }

    private static List<List<Operation>> split(List<Operation> operations, int[] sizes) {
        List<List<Operation>> parts = new ArrayList<>();
        int from = 0;
        int bytes = 0;
        for (int index = 0; index < sizes.length; index++) {
            boolean full = index - from == MAXIMUM_OPERATIONS_PER_PART || bytes + sizes[index] > MAXIMUM_BYTES_PER_PART;
            if (full && index > from) {
                parts.add(operations.subList(from, index));
                from = index;
                bytes = 0;
            }
            bytes += sizes[index];
        }
        parts.add(operations.subList(from, sizes.length));
        return parts;
    }

    private static int size(Operation operation) {
        try {
            return Mappers.JSON.writeValueAsBytes(operation).length + 1;
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("failed to serialize an operation to JSON", exception);
        }
    }
}
