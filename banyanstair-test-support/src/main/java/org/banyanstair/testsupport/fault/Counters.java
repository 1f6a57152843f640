package org.banyanstair.testsupport.fault;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Named operation counts of a stand-in. Thread-safe. */
public final class Counters {
    private final Map<String, LongAdder> values = new ConcurrentHashMap<>();

    /** Adds to a count. */
    public void add(String name, long amount) {
        values.computeIfAbsent(name, key -> new LongAdder()).add(amount);
    }

    /** Creates counts with the value 0, so that snapshots list them before the first operation. */
    public void declare(String... names) {
        for (String name : names) {
            add(name, 0);
        }
    }

    /**
     * Returns one count.
     *
     * @return its value, 0 if nothing was added
     */
    public long get(String name) {
        LongAdder adder = values.get(name);
        return adder == null ? 0 : adder.sum();
    }

    /**
     * Returns all counts.
     *
     * @return values by name, in the order of the names
     */
    public Map<String, Long> snapshot() {
        Map<String, Long> result = new TreeMap<>();
        values.forEach((name, adder) -> result.put(name, adder.sum()));
        return result;
    }
}
