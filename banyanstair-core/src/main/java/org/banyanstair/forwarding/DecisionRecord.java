package org.banyanstair.forwarding;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One line of the decision log.
 *
 * @param kind what was decided or observed
 * @param important whether the line is kept in preference to others when the log falls behind
 * @param fields inputs and outcome, in output order
 */
public record DecisionRecord(String kind, boolean important, Map<String, Object> fields) {
    /** Names of the fields that the log writes itself; a second field of the same name would hide the first. */
    private static final Set<String> RESERVED_NAMES = Set.of("at", "host", "kind");

    /** Rejects fields that the log writes itself. */
    public DecisionRecord {
        if (!Collections.disjoint(fields.keySet(), RESERVED_NAMES)) {
            throw new IllegalArgumentException("reserved field name in " + fields.keySet());
        }
    }

    /**
     * Creates a record of a decision for a request that is served.
     *
     * @param fields alternating names and values
     */
    public static DecisionRecord of(String kind, Object... fields) {
        return new DecisionRecord(kind, false, map(fields));
    }

    /**
     * Creates a record of a refusal, a failure or a change of state.
     *
     * @param fields alternating names and values
     */
    public static DecisionRecord important(String kind, Object... fields) {
        return new DecisionRecord(kind, true, map(fields));
    }

    /** Returns the record with a further field; the same record if the value is empty. */
    public DecisionRecord with(String name, Optional<?> value) {
        if (value.isEmpty()) {
            return this;
        }
        Map<String, Object> extended = new LinkedHashMap<>(fields);
        extended.put(name, value.get());
        return new DecisionRecord(kind, important, extended);
    }

    private static Map<String, Object> map(Object... fields) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int index = 0; index + 1 < fields.length; index += 2) {
            result.put(String.valueOf(fields[index]), fields[index + 1]);
        }
        return result;
    }
}
