package org.banyanstair.testsupport.endpoint;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The faults that are set on a stand-in, each with a number: a count that is used up, a duration or 0 and 1.
 *
 * <p>Safe for use by several threads.
 *
 * @param <E> the faults of the stand-in
 */
public final class FaultSettings<E extends Enum<E>> {
    private final Class<E> type;
    private final Map<E, Long> values;

    /**
     * Creates settings without faults.
     *
     * @param type the faults of the stand-in
     */
    public FaultSettings(Class<E> type) {
        this.type = type;
        this.values = new EnumMap<>(type);
    }

    /**
     * Sets one fault.
     *
     * @param fault the fault
     * @param value its number, 0 to end the fault
     */
    public synchronized void set(E fault, long value) {
        values.put(fault, value);
    }

    /**
     * Returns the number of a fault.
     *
     * @param fault the fault
     * @return the number, 0 if the fault is not set
     */
    public synchronized long value(E fault) {
        return values.getOrDefault(fault, 0L);
    }

    /**
     * Returns whether a fault is set.
     *
     * @param fault the fault
     * @return whether its number is above 0
     */
    public boolean isSet(E fault) {
        return value(fault) > 0;
    }

    /**
     * Uses up one occurrence of a counted fault.
     *
     * @param fault the fault
     * @return whether the fault applies this time
     */
    public synchronized boolean consume(E fault) {
        long remaining = value(fault);
        if (remaining > 0) {
            values.put(fault, remaining - 1);
        }
        return remaining > 0;
    }

    /**
     * Reads the JSON form, an object of fault names in lower case with numbers.
     *
     * @param json the object
     * @return the numbers by fault
     * @throws IllegalArgumentException if a name or a number is not accepted
     */
    public Map<E, Long> parse(JsonNode json) {
        Map<E, Long> parsed = new EnumMap<>(type);
        json.fields().forEachRemaining(field -> {
            if (!field.getValue().canConvertToLong()) {
                throw new IllegalArgumentException("fault " + field.getKey() + " must be a whole number");
            }
            E fault = Enum.valueOf(type, field.getKey().toUpperCase(Locale.ROOT));
            parsed.put(fault, field.getValue().asLong());
        });
        return parsed;
    }
}
