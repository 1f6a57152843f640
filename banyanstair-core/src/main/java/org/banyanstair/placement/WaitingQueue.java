package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.RequestId;

/** Priority queue of the requests that wait for a permit. Not thread-safe. */
final class WaitingQueue {
    private final TreeSet<WaitingRequest> requests = new TreeSet<>(WaitingRequest.BY_URGENCY);
    private final Map<RequestId, WaitingRequest> byRequest = new HashMap<>();
    private final Map<AdapterVersion, Integer> byAdapter = new HashMap<>();
    private final Map<CallerId, Integer> byCaller = new HashMap<>();

    void add(WaitingRequest waiting) {
        remove(waiting.message().request());
        requests.add(waiting);
        byRequest.put(waiting.message().request(), waiting);
        byAdapter.merge(waiting.adapter(), 1, Integer::sum);
        byCaller.merge(waiting.message().caller(), 1, Integer::sum);
    }

    Optional<WaitingRequest> remove(RequestId request) {
        WaitingRequest removed = byRequest.remove(request);
        if (removed != null) {
            requests.remove(removed);
            byAdapter.computeIfPresent(removed.adapter(), WaitingQueue::decrement);
            byCaller.computeIfPresent(removed.message().caller(), WaitingQueue::decrement);
        }
        return Optional.ofNullable(removed);
    }

    private static <K> Integer decrement(K key, Integer count) {
        return count == 1 ? null : count - 1;
    }

    Optional<WaitingRequest> find(RequestId request) {
        return Optional.ofNullable(byRequest.get(request));
    }

    List<WaitingRequest> inOrder() {
        return List.copyOf(requests);
    }

    List<WaitingRequest> removeIf(Predicate<WaitingRequest> condition) {
        List<WaitingRequest> removed = requests.stream().filter(condition).toList();
        removed.forEach(waiting -> remove(waiting.message().request()));
        return removed;
    }

    /** Promotes standard requests that have waited for the limit, so that premium traffic cannot starve them. */
    void promoteAged(Duration limit, Instant now) {
        requests.stream()
                .filter(waiting -> !waiting.isHighPriority())
                .filter(waiting -> !now.isBefore(waiting.arrivedAt().plus(limit)))
                .toList()
                .forEach(waiting -> add(waiting.promote()));
    }

    /** Whether a waiting request can use the adapter on this engine. */
    boolean isNeeded(AdapterVersion adapter, EndpointId engine) {
        return byAdapter.containsKey(adapter)
                && requests.stream().anyMatch(waiting -> waiting.adapter().equals(adapter) && waiting.canUse(engine));
    }

    int size() {
        return byRequest.size();
    }

    int sizeForCaller(CallerId caller) {
        return byCaller.getOrDefault(caller, 0);
    }
}
