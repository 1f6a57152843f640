package org.banyanstair.forwarding;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
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

    /** Returns a copy with one more field. */
    DecisionRecord with(String name, Object value) {
        Map<String, Object> more = new LinkedHashMap<>(fields);
        more.put(name, value);
        return new DecisionRecord(kind, important, more);
    }

    private static Map<String, Object> map(Object... fields) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int index = 0; index + 1 < fields.length; index += 2) {
            result.put(String.valueOf(fields[index]), fields[index + 1]);
        }
        return result;
    }
}
