package org.banyanstair.placement;

import java.util.LinkedHashMap;
import java.util.Map;

import org.banyanstair.model.AdapterVersion;

/** Remembers the prompt prefixes that were recently sent to an engine, which it probably still has cached. */
final class PrefixMemory {
    private static final int REMEMBERED = 1_024;

    private final Map<Prefix, Boolean> recent = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Prefix, Boolean> eldest) {
            return size() > REMEMBERED;
        }
    };

    private record Prefix(AdapterVersion adapter, long hash) {}

    void sent(AdapterVersion adapter, long hash) {
        recent.put(new Prefix(adapter, hash), Boolean.TRUE);
    }

    boolean contains(AdapterVersion adapter, long hash) {
        return recent.containsKey(new Prefix(adapter, hash));
    }

    void clear() {
        recent.clear();
    }
}
