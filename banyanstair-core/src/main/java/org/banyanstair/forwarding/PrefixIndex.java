package org.banyanstair.forwarding;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which prompt prefixes a runner has processed recently.
 *
 * <p>A runner keeps a part in its cache only while all parts before it are kept for the same adapter, so each prefix is
 * identified by the hash of the adapter and all of its parts.
 */
final class PrefixIndex {
    /** Prefixes tracked per runner; about twice the number of usual length that its cache holds. */
    private static final int CAPACITY = 96;

    private final Map<Long, Boolean> recent = new LinkedHashMap<>(CAPACITY, 0.75F, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > CAPACITY;
        }
    };

    /** Returns the hashes of the prefixes that other requests may share, shortest first. */
    static long[] hashes(ForwardRequest request) {
        List<PromptPart> parts = request.prompt();
        long hash = request.adapter().hashCode();
        long[] result = new long[Math.max(0, parts.size() - 1)];
        for (int index = 0; index < result.length; index++) {
            hash = (hash ^ parts.get(index).id()) * 0x9E3779B97F4A7C15L;
            hash ^= hash >>> 32;
            result[index] = hash;
        }
        return result;
    }

    void add(long hash) {
        recent.put(hash, Boolean.TRUE);
    }

    void clear() {
        recent.clear();
    }

    /** Returns the number of prompt tokens that are probably cached on the runner. */
    int cachedTokens(ForwardRequest request, long[] hashes) {
        int tokens = 0;
        for (int index = 0; index < hashes.length && recent.containsKey(hashes[index]); index++) {
            tokens += request.prompt().get(index).tokens();
        }
        return tokens;
    }
}
