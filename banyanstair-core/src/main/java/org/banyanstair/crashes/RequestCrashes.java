package org.banyanstair.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.banyanstair.model.EndpointId;

/**
 * Counts the endpoints that crashed while they ran a request, to refuse requests that crash endpoints.
 *
 * <p>A request is refused after several crashes since an endpoint last completed it, unless another request was on the
 * same endpoints, as copies of a popular one may be. Crashes are only added and marked as cleared, so hosts that exchange
 * what they know, in any order and repeatedly, agree in the end.
 *
 * <p>Instants are those of this host's clock. Not thread-safe.
 */
public final class RequestCrashes {
    /** Crashes after which a request is refused. */
    public static final int MAXIMUM_CRASHES = 3;

    /** Crashes after which a request is refused even if another one was on the same endpoints. */
    private static final int SUFFICIENT_CRASHES = 5;

    /** Crashes from which on a request is reported to peers and recorded; one may be due to any request beside it. */
    private static final int REPORTED_CRASHES = 2;

    /** Crashes closer together than this count as one, since one event such as a lost rack probably caused them. */
    private static final Duration SIMULTANEOUS = Duration.ofMillis(30);

    /** Time in which reports of the other requests on a crashed endpoint arrive, also over relays. */
    private static final Duration SETTLE_TIME = Duration.ofMillis(300);

    /** Time after a crash in which hosts notice it and report it, unless they notice nothing of it by themselves. */
    private static final Duration REPORT_DELAY = Duration.ofSeconds(2);

    /** Time for which a crash counts. */
    private static final Duration RETENTION = Duration.ofMinutes(10);

    /** Time for which each heartbeat tells peers of a change. */
    private static final Duration CHANGE_REPORT_TIME = Duration.ofSeconds(10);

    /** Time between two heartbeats that tell of a request without a change, which the log holds as well. */
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(5);

    private static final int REQUEST_CAPACITY = 4096;

    private static final int CRASHES_PER_REQUEST = 6;

    private static final int COMPLETION_CAPACITY = 8192;

    /** Requests reported to peers at a time. */
    private static final int REPORT_CAPACITY = 16;

    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private final Map<Long, Map<CrashId, Boolean>> recorded = new HashMap<>();

    /** When an endpoint last completed a request of this host. */
    private final Map<Long, Instant> completions = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Instant> eldest) {
            return size() > COMPLETION_CAPACITY;
        }
    };

    private record CrashId(EndpointId endpoint, long started) {
        static CrashId of(EndpointCrash crash) {
            return new CrashId(crash.endpoint(), crash.started());
        }
    }

    private static final class Entry {
        private final boolean exact;
        private final Map<CrashId, EndpointCrash> crashes = new LinkedHashMap<>();
        private Instant changedAt = Instant.MIN;
        private Instant nextReportAt = Instant.MIN;

        Entry(boolean exact) {
            this.exact = exact;
        }

        private int count(Predicate<EndpointCrash> counted) {
            List<Instant> times = crashes.values().stream()
                    .filter(counted)
                    .map(EndpointCrash::at)
                    .sorted()
                    .toList();
            return CrashTimes.countDistinct(times, SIMULTANEOUS);
        }

        private int count(boolean withCleared) {
            return count(crash -> withCleared || !crash.cleared());
        }

        private Optional<EndpointCrash> latest() {
            return crashes.values().stream()
                    .filter(crash -> !crash.cleared())
                    .max(Comparator.comparing(EndpointCrash::at));
        }

        private Instant lastAt() {
            return crashes.values().stream()
                    .map(EndpointCrash::at)
                    .max(Comparator.naturalOrder())
                    .orElse(Instant.MIN);
        }

        private CrashedRequest toRequest(long fingerprint) {
            return new CrashedRequest(fingerprint, exact, List.copyOf(crashes.values()));
        }
    }

    /**
     * Adds a crash under a request, or what else is known of it.
     *
     * @param exact whether only copies of the request have this fingerprint, and no similar ones
     * @return whether anything was unknown before
     */
    public boolean add(long fingerprint, boolean exact, EndpointCrash crash, Instant now) {
        if (!now.isBefore(crash.at().plus(RETENTION))) {
            return false;
        }
        Entry entry = entries.get(fingerprint);
        if (entry == null) {
            if (entries.size() >= REQUEST_CAPACITY) {
                removeOldest();
            }
            entry = new Entry(exact);
            entries.put(fingerprint, entry);
        }
        CrashId id = CrashId.of(crash);
        EndpointCrash known = entry.crashes.get(id);
        Instant at = crash.at().isAfter(now) ? now : crash.at();
        if (known != null && known.at().isBefore(at)) {
            at = known.at();
        }
        boolean cleared = crash.cleared()
                || known != null && known.cleared()
                || completions.getOrDefault(fingerprint, Instant.MIN).isAfter(at);
        boolean changed = known == null || known.cleared() != cleared;
        entry.crashes.put(id, new EndpointCrash(crash.endpoint(), crash.started(), at, cleared));
        if (entry.crashes.size() > CRASHES_PER_REQUEST) {
            removeLeastRelevant(entry);
        }
        if (!changed || !entry.crashes.containsKey(id)) {
            return false;
        }
        entry.changedAt = now;
        return true;
    }

    /** Removes a request, if possible one with a single crash, which is the least likely to have caused it. */
    private void removeOldest() {
        long oldest = entries.entrySet().stream()
                .filter(entry -> entry.getValue().crashes.size() < REPORTED_CRASHES)
                .findFirst()
                .map(Map.Entry::getKey)
                .orElseGet(() -> entries.keySet().iterator().next());
        entries.remove(oldest);
    }

    private static void removeLeastRelevant(Entry entry) {
        entry.crashes.values().stream()
                .min(Comparator.comparing(EndpointCrash::cleared).reversed().thenComparing(EndpointCrash::at))
                .ifPresent(crash -> entry.crashes.remove(CrashId.of(crash)));
    }

    /** Records that an endpoint has completed a request; returns the number of crashes that this clears. */
    public int completed(long fingerprint, Instant now) {
        completions.remove(fingerprint);
        completions.put(fingerprint, now);
        Entry entry = entries.get(fingerprint);
        if (entry == null) {
            return 0;
        }
        List<EndpointCrash> cleared = entry.crashes.values().stream()
                .filter(crash -> !crash.cleared() && crash.at().isBefore(now))
                .toList();
        cleared.forEach(crash -> entry.crashes.put(
                CrashId.of(crash), new EndpointCrash(crash.endpoint(), crash.started(), crash.at(), true)));
        if (!cleared.isEmpty()) {
            entry.changedAt = now;
        }
        return cleared.size();
    }

    /** Returns the number of crashes under a request since an endpoint last completed it. */
    public int count(long fingerprint, Instant now) {
        Entry entry = entries.get(fingerprint);
        return entry == null || isExpired(entry, now) ? 0 : entry.count(false);
    }

    /** Returns whether a request has crashed too many endpoints. */
    public boolean isRefused(long fingerprint, Instant now) {
        Entry entry = entries.get(fingerprint);
        return entry != null && isRefused(entry, now);
    }

    /**
     * Returns whether the crashes point to a request. Several requests may have been on the same endpoints; while two
     * of them explain the crashes equally well, a further crash or a completion decides.
     */
    private boolean isRefused(Entry entry, Instant now) {
        if (!isSuspect(entry, now) || isSettling(entry, now)) {
            return false;
        }
        if (entry.exact && entry.count(false) >= SUFFICIENT_CRASHES) {
            return true;
        }
        Optional<CrashId> latest = entry.latest().map(CrashId::of);
        return entries.values().stream()
                .filter(other -> other != entry && other.exact)
                .filter(other -> latest.map(other.crashes::get)
                        .filter(crash -> !crash.cleared())
                        .isPresent())
                .noneMatch(other -> isSuspect(other, now));
    }

    /** Returns whether reports of the other requests on the last endpoint may still be on their way. */
    private static boolean isSettling(Entry entry, Instant now) {
        boolean recent = entry.latest()
                .filter(crash -> now.isBefore(crash.at().plus(REPORT_DELAY)))
                .isPresent();
        return recent && now.isBefore(entry.changedAt.plus(SETTLE_TIME));
    }

    private static boolean isSuspect(Entry entry, Instant now) {
        return entry.crashes.size() >= MAXIMUM_CRASHES
                && !isExpired(entry, now)
                && entry.count(false) >= MAXIMUM_CRASHES;
    }

    /** Returns the fingerprints that are refused. */
    public Set<Long> refused(Instant now) {
        return entries.entrySet().stream()
                .filter(entry -> isRefused(entry.getValue(), now))
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static boolean isExpired(Entry entry, Instant now) {
        return !now.isBefore(entry.lastAt().plus(RETENTION));
    }

    /**
     * Returns what peers need to know; suspects first, then those with the latest crashes.
     *
     * @param complete whether to include what the last reports told and has not changed since
     */
    public List<CrashedRequest> report(boolean complete, Instant now) {
        entries.values().removeIf(entry -> isExpired(entry, now));
        recorded.keySet().retainAll(entries.keySet());
        List<Map.Entry<Long, Entry>> reported = entries.entrySet().stream()
                .filter(entry -> isReported(entry.getValue(), complete, now))
                .sorted(Comparator.comparing((Map.Entry<Long, Entry> entry) -> !isSuspect(entry.getValue(), now))
                        .thenComparing(entry -> entry.getValue().lastAt(), Comparator.reverseOrder()))
                .limit(REPORT_CAPACITY)
                .toList();
        if (!complete) {
            reported.forEach(entry -> entry.getValue().nextReportAt = now.plus(REPORT_INTERVAL));
        }
        return reported.stream()
                .map(entry -> entry.getValue().toRequest(entry.getKey()))
                .toList();
    }

    private static boolean isReported(Entry entry, boolean complete, Instant now) {
        if (now.isBefore(entry.changedAt.plus(CHANGE_REPORT_TIME))) {
            return entry.count(true) >= REPORTED_CRASHES;
        }
        return (complete || !now.isBefore(entry.nextReportAt)) && entry.count(false) >= REPORTED_CRASHES;
    }

    /** Notes what the log holds of a request. */
    public void recordRead(CrashedRequest request) {
        Map<CrashId, Boolean> known = new HashMap<>();
        request.crashes().forEach(crash -> known.put(CrashId.of(crash), crash.cleared()));
        recorded.put(request.fingerprint(), known);
    }

    /** Forgets what the log holds, because it was restored from a copy. */
    public void forgetRecorded() {
        recorded.clear();
    }

    /** Returns the requests of which the log does not hold all that hosts need after a restart. */
    public List<CrashedRequest> unrecorded(Instant now) {
        List<CrashedRequest> result = new ArrayList<>();
        entries.forEach((fingerprint, entry) -> {
            Map<CrashId, Boolean> known = recorded.getOrDefault(fingerprint, Map.of());
            boolean needed = entry.count(false) >= REPORTED_CRASHES || known.containsValue(false);
            Stream<EndpointCrash> missing = entry.crashes.values().stream()
                    .filter(crash -> !Boolean.valueOf(crash.cleared()).equals(known.get(CrashId.of(crash))));
            if (needed && !isExpired(entry, now) && missing.findAny().isPresent()) {
                result.add(entry.toRequest(fingerprint));
            }
        });
        return result;
    }
}
