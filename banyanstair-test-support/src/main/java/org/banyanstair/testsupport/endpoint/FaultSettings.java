package org.banyanstair.testsupport.endpoint;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds the injected faults of a stand-in; the value of a fault is a remaining count, a duration or a flag (0 or 1).
 *
 * <p>Thread-safe.
 *
 * @param <E> enum of the stand-in's faults
 */
public final class FaultSettings<E extends Enum<E>> {
    private final Class<E> type;
    private final Map<E, Long> values;

    /** Creates settings without active faults. */
    public FaultSettings(Class<E> type) {
        this.type = type;
        this.values = new EnumMap<>(type);
    }

    /**
     * Sets one fault.
     *
     * @param value count, duration or flag; 0 to clear the fault
     */
    public synchronized void set(E fault, long value) {
        values.put(fault, value);
    }

    /**
     * Returns the value of a fault.
     *
     * @return 0 if the fault is not set
     */
    public synchronized long value(E fault) {
        return values.getOrDefault(fault, 0L);
    }

    /** Returns whether the value of a fault is above 0. */
    public boolean isSet(E fault) {
        return value(fault) > 0;
    }

    /** Decrements the value of a counted fault if it is above 0 and returns whether it was. */
    public synchronized boolean consume(E fault) {
        long remaining = value(fault);
        if (remaining > 0) {
            values.put(fault, remaining - 1);
        }
        return remaining > 0;
    }

    /**
     * Parses a JSON object that maps lower-case fault names to values.
     *
     * @throws IllegalArgumentException if a name is unknown or a value is not an integer
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
