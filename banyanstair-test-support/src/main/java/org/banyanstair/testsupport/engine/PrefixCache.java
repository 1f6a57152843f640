package org.banyanstair.testsupport.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Simulates the engine's prefix cache with LRU eviction and publishes its cache events. */
final class PrefixCache {
    private static final int MAX_EVENTS = 10_000;

    private final EngineSettings settings;
    private final LinkedHashMap<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Event> events = new ArrayList<>();
    private long nextNumber;

    PrefixCache(EngineSettings settings) {
        this.settings = settings;
    }

    private record Event(long number, long prefix, String kind, long atNanos) {}

    /** Clears the cache, as a process crash does; event numbers restart at 0. */
    void clear() {
        prefixes.clear();
        events.clear();
        nextNumber = 0;
    }

    void recordUse(long prefix, long now) {
        if (prefixes.put(prefix, true) == null) {
            appendEvent(prefix, "stored", now);
        }
        if (prefixes.size() > settings.cachedPrefixes()) {
            long oldest = prefixes.keySet().iterator().next();
            prefixes.remove(oldest);
            appendEvent(oldest, "evicted", now);
        }
    }

    /**
     * Returns the published events from a number on. Prefix hashes are strings because not every JSON parser preserves
     * 64-bit integers.
     */
    Map<String, Object> publishedEvents(long from, long now) {
        List<Map<String, Object>> list = new ArrayList<>();
        long next = from;
        for (Event event : events) {
            boolean isDue = now - event.atNanos >= settings.cacheEventLagMilliseconds() * 1_000_000L;
            if (event.number >= from && isDue) {
                next = event.number + 1;
                if (!isGap(event.number)) {
                    list.add(Map.of("number", event.number, "prefix", Long.toString(event.prefix), "kind", event.kind));
                }
            }
        }
        return Map.of("events", list, "next", next);
    }

    private boolean isGap(long number) {
        int every = settings.cacheEventGapEvery();
        return every > 0 && number % every == every - 1;
    }

    private void appendEvent(long prefix, String kind, long now) {
        events.add(new Event(nextNumber++, prefix, kind, now));
        if (events.size() > MAX_EVENTS) {
            events.remove(0);
        }
    }
}
