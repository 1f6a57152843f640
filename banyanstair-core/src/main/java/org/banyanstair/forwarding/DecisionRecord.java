package org.banyanstair.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One line of the decision log.
 *
 * @param kind what was decided or learned
 * @param important whether it is kept ahead of others when the log falls behind
 * @param fields inputs and outcome, in order
 */
public record DecisionRecord(String kind, boolean important, Map<String, Object> fields) {
    /**
     * Creates a record of a decision that served a request.
     *
     * @param kind what was decided
     * @param fields names and values in turn
     * @return the record
     */
    public static DecisionRecord of(String kind, Object... fields) {
        return new DecisionRecord(kind, false, map(fields));
    }

    /**
     * Creates a record of a refusal, a failure or a change of state.
     *
     * @param kind what was decided
     * @param fields names and values in turn
     * @return the record
     */
    public static DecisionRecord important(String kind, Object... fields) {
        return new DecisionRecord(kind, true, map(fields));
    }

    private static Map<String, Object> map(Object... fields) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int index = 0; index + 1 < fields.length; index += 2) {
            result.put(String.valueOf(fields[index]), fields[index + 1]);
        }
        return result;
    }
}
