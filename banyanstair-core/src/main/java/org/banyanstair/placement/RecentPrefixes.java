package org.banyanstair.placement;

import java.util.LinkedHashMap;
import java.util.Map;

import org.banyanstair.model.AdapterVersion;

/** LRU set of the prompt prefixes recently sent to an engine, which probably still has them cached. */
final class RecentPrefixes {
    private static final int MAXIMUM_PREFIXES = 1_024;

    private final Map<Prefix, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Prefix, Boolean> eldest) {
            return size() > MAXIMUM_PREFIXES;
        }
    };

    private record Prefix(AdapterVersion adapter, long hash) {}

    void add(AdapterVersion adapter, long hash) {
        prefixes.put(new Prefix(adapter, hash), Boolean.TRUE);
    }

    boolean contains(AdapterVersion adapter, long hash) {
        return prefixes.containsKey(new Prefix(adapter, hash));
    }

    void clear() {
        prefixes.clear();
    }
}
