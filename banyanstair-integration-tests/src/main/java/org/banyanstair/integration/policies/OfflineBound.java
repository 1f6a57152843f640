package org.banyanstair.integration.policies;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Computes a lower bound on the adapter loads of any policy for a sequence of requests with Belady's algorithm (1966),
 * which evicts the adapter whose next use is furthest in the future. The bound ignores batches, deadlines and the load
 * rate of the weight store, so no policy can reach it in practice.
 */
final class OfflineBound {
    private OfflineBound() {}

    static long fewestLoads(List<Integer> adapters, int slots) {
        Map<Integer, Deque<Integer>> uses = new HashMap<>();
        for (int position = 0; position < adapters.size(); position++) {
            uses.computeIfAbsent(adapters.get(position), adapter -> new ArrayDeque<>())
                    .addLast(position);
        }
        Set<Integer> loaded = new HashSet<>();
        long loads = 0;
        for (int adapter : adapters) {
            uses.get(adapter).removeFirst();
            if (!loaded.contains(adapter)) {
                loads++;
                if (loaded.size() == slots) {
                    loaded.remove(furthestNextUse(loaded, uses));
                }
                loaded.add(adapter);
            }
        }
        return loads;
    }

    private static Integer furthestNextUse(Set<Integer> loaded, Map<Integer, Deque<Integer>> uses) {
        return loaded.stream()
                .max((first, second) -> Integer.compare(nextUse(uses.get(first)), nextUse(uses.get(second))))
                .orElseThrow();
    }

    private static int nextUse(Deque<Integer> positions) {
        return positions.isEmpty() ? Integer.MAX_VALUE : positions.peekFirst();
    }
}
