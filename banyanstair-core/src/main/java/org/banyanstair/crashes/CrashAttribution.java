package org.banyanstair.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.banyanstair.model.EndpointId;
import org.banyanstair.peer.ObservedPart;
import org.banyanstair.peer.PartEvidence;
import org.banyanstair.peer.RefusedPart;

/**
 * Finds prompt parts that crash each endpoint which begins to produce output for them.
 *
 * <p>Several requests run on an endpoint that crashes, and nearly all requests of a route share the first parts of their
 * prompts. A part is suspected by the crashes on which a request with it had produced no output yet; output for the part
 * on any endpoint clears it of all crashes before. A part that is left with several crashes is refused, the most
 * specific one where a prompt contains two, and its crashes no longer count against other parts.
 *
 * <p>Instants are those of this host's clock; what peers report is converted by its age. Not thread-safe.
 */
public final class CrashAttribution {
    /** Time for which requests with a part are refused after the last crash that was attributed to it. */
    public static final Duration REFUSAL_RETENTION = Duration.ofMinutes(10);

    /** Crashes that a part needs to be refused, if it was on a good share of all. */
    private static final int MINIMUM_CRASHES = 3;

    /** Crashes after which a part is refused whatever its share. */
    private static final int SUFFICIENT_CRASHES = 5;

    /** Share of the crashes since its first one on which a part has to be before the sufficient number is reached. */
    private static final double MINIMUM_SHARE = 0.4;

    /** Crashes closer together than this count as one, since they probably have a common cause such as a lost rack. */
    private static final Duration SIMULTANEOUS = Duration.ofMillis(100);

    /** Outputs of other requests that show that endpoints work, before the first part of a prompt is refused. */
    private static final int REQUIRED_OUTPUTS = 5;

    private static final Duration CRASH_RETENTION = Duration.ofSeconds(60);

    private static final int CRASH_CAPACITY = 256;

    private static final int PROMPTS_PER_CRASH = 128;

    private static final int OUTPUT_CAPACITY = 8192;

    private static final int REFUSAL_CAPACITY = 64;

    /** Parts reported to peers at a time. */
    private static final int REPORT_CAPACITY = 64;

    private final Duration settleTime;
    private final Map<CrashId, Crash> crashes = new LinkedHashMap<>();
    private final Map<Long, Output> outputs = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Output> eldest) {
            return size() > OUTPUT_CAPACITY;
        }
    };
    /** Instants of the last outputs of this host's requests. */
    private final Deque<Instant> recentOutputs = new ArrayDeque<>();

    private final Map<Long, PartRefusal> refusals = new TreeMap<>();
    /** Parts that a peer refuses although there was output for them, until the next report to peers. */
    private final Set<Long> contested = new HashSet<>();

    private record CrashId(EndpointId endpoint, long started) {}

    private static final class Crash {
        private Instant at = Instant.MAX;
        private Instant learnedAt = Instant.MIN;
        private final Set<List<Long>> prompts = new LinkedHashSet<>();
    }

    /** Latest output for a part, seen by this host and by its peers. */
    private static final class Output {
        private Instant ownAt = Instant.MIN;
        private Instant peersAt = Instant.MIN;

        Instant at() {
            return ownAt.isAfter(peersAt) ? ownAt : peersAt;
        }
    }

    /** The crashes of which a part has not been cleared. */
    private static final class Candidate {
        private final long part;
        private final List<Instant> times = new ArrayList<>();
        private Instant decidableAt = Instant.MAX;
        /** Parts that come before this one in each prompt that contains it. */
        private Set<Long> ancestors;

        private final Set<Long> firstParts = new HashSet<>();

        Candidate(long part) {
            this.part = part;
        }

        int count() {
            return distinct(times);
        }

        void learnedAt(Instant settledAt) {
            decidableAt = times.size() == 1 || settledAt.isAfter(decidableAt) ? settledAt : decidableAt;
        }
    }

    /**
     * Creates an empty history.
     *
     * @param settleTime time after a crash in which reports of peers about it arrive
     */
    public CrashAttribution(Duration settleTime) {
        this.settleTime = settleTime;
    }

    /** Records that a request without output was on an endpoint that crashed. */
    public void addCrash(EndpointId endpoint, long started, Instant at, List<Long> parts, Instant now) {
        if (parts.isEmpty()) {
            return;
        }
        crashes.values().removeIf(crash -> now.isAfter(crash.at.plus(CRASH_RETENTION)));
        if (crashes.size() >= CRASH_CAPACITY) {
            crashes.remove(crashes.keySet().iterator().next());
        }
        Crash crash = crashes.computeIfAbsent(new CrashId(endpoint, started), key -> new Crash());
        crash.at = at.isBefore(crash.at) ? at : crash.at;
        if (crash.prompts.size() < PROMPTS_PER_CRASH && crash.prompts.add(List.copyOf(parts))) {
            crash.learnedAt = now;
        }
        for (long part : parts) {
            PartRefusal refusal = refusals.get(part);
            if (refusal != null && now.isBefore(refusal.expiresAt())) {
                refusals.put(
                        part,
                        new PartRefusal(part, refusal.crashes(), refusal.firstCrashAt(), now.plus(REFUSAL_RETENTION)));
            }
        }
    }

    /** Records output for the parts of a request of this host; returns the refusals that it proves wrong. */
    public List<PartRefusal> addOutput(Collection<Long> parts, Instant at) {
        recentOutputs.addLast(at);
        if (recentOutputs.size() > REQUIRED_OUTPUTS) {
            recentOutputs.removeFirst();
        }
        List<PartRefusal> cleared = new ArrayList<>();
        for (long part : parts) {
            Output output = renew(part);
            output.ownAt = at.isAfter(output.ownAt) ? at : output.ownAt;
            removeIfCleared(part).ifPresent(cleared::add);
        }
        return cleared;
    }

    /** Records output that a peer has seen; returns the refusal that it proves wrong. */
    public Optional<PartRefusal> addPeerOutput(long part, Instant at) {
        Output output = renew(part);
        output.peersAt = at.isAfter(output.peersAt) ? at : output.peersAt;
        return removeIfCleared(part);
    }

    private Output renew(long part) {
        Output output = outputs.remove(part);
        Output renewed = output == null ? new Output() : output;
        outputs.put(part, renewed);
        return renewed;
    }

    private Optional<PartRefusal> removeIfCleared(long part) {
        PartRefusal refusal = refusals.get(part);
        if (refusal == null || !hasOutputSince(part, refusal.firstCrashAt())) {
            return Optional.empty();
        }
        refusals.remove(part);
        return Optional.of(refusal);
    }

    private boolean hasOutputSince(long part, Instant instant) {
        Output output = outputs.get(part);
        return output != null && output.at().isAfter(instant);
    }

    /** Applies the refusal of a peer; returns whether it is new. A part with output since the crashes is not refused. */
    public boolean adopt(PartRefusal refusal, Instant now) {
        if (hasOutputSince(refusal.part(), refusal.firstCrashAt())) {
            contested.add(refusal.part());
            return false;
        }
        if (refusals.containsKey(refusal.part())
                || refusals.size() >= REFUSAL_CAPACITY
                || !now.isBefore(refusal.expiresAt())) {
            return false;
        }
        refusals.put(refusal.part(), refusal);
        return true;
    }

    /** Returns the first part of a prompt that is refused; empty if none is. */
    public Optional<Long> refusedPart(List<Long> parts, Instant now) {
        if (refusals.isEmpty()) {
            return Optional.empty();
        }
        for (long part : parts) {
            PartRefusal refusal = refusals.get(part);
            if (refusal != null && now.isBefore(refusal.expiresAt())) {
                return Optional.of(part);
            }
        }
        return Optional.empty();
    }

    /** Returns the refusals in force. */
    public List<PartRefusal> refusals(Instant now) {
        return refusals.values().stream()
                .filter(refusal -> now.isBefore(refusal.expiresAt()))
                .toList();
    }

    /** Returns whether a part of a prompt has neither been cleared of a crash nor explains it by a refusal. */
    public boolean isUndecided(List<Long> parts, Instant crashAt) {
        return parts.stream().noneMatch(refusals::containsKey)
                && parts.stream().anyMatch(part -> !hasOutputSince(part, crashAt));
    }

    /** Returns what peers need to know. */
    public PartEvidence evidence(Instant now) {
        Map<Long, ObservedPart> observed = new LinkedHashMap<>();
        for (Crash crash : crashes.values()) {
            if (isExplained(crash)) {
                continue;
            }
            for (List<Long> prompt : crash.prompts) {
                for (long part : prompt) {
                    Output output = outputs.get(part);
                    // One report by any host is enough, so nothing is repeated that a peer has reported.
                    if (output != null && output.ownAt.isAfter(crash.at) && !output.peersAt.isAfter(crash.at)) {
                        observed.put(part, observed(part, output, now));
                    }
                }
            }
        }
        for (long part : contested) {
            Output output = outputs.get(part);
            if (output != null) {
                observed.put(part, observed(part, output, now));
            }
        }
        contested.clear();
        List<RefusedPart> refused = refusals(now).stream()
                .map(refusal -> new RefusedPart(
                        refusal.part(),
                        Duration.between(refusal.firstCrashAt(), now).toMillis(),
                        Duration.between(now, refusal.expiresAt()).toMillis()))
                .toList();
        return new PartEvidence(
                observed.values().stream().limit(REPORT_CAPACITY).toList(), refused);
    }

    private static ObservedPart observed(long part, Output output, Instant now) {
        return new ObservedPart(part, Duration.between(output.at(), now).toMillis());
    }

    private boolean isExplained(Crash crash) {
        return crash.prompts.stream().anyMatch(prompt -> prompt.stream().anyMatch(refusals::containsKey));
    }

    /** Removes expired refusals and refuses the part to which the crashes point, if there is one; returns it. */
    public Optional<PartRefusal> attribute(Instant now) {
        refusals.values().removeIf(refusal -> !now.isBefore(refusal.expiresAt()));
        List<Crash> open = crashes.values().stream()
                .filter(crash -> !isExplained(crash))
                .sorted(Comparator.comparing(crash -> crash.at))
                .toList();
        if (open.size() < MINIMUM_CRASHES || refusals.size() >= REFUSAL_CAPACITY) {
            return Optional.empty();
        }
        Collection<Candidate> candidates = candidates(open);
        List<Candidate> eligible = candidates.stream()
                .filter(candidate -> isEligible(candidate, open, now))
                .sorted(Comparator.comparingInt(Candidate::count)
                        .thenComparingInt(candidate -> candidate.ancestors.size())
                        .reversed()
                        .thenComparingLong(candidate -> candidate.part))
                .toList();
        if (eligible.isEmpty()) {
            return Optional.empty();
        }
        Candidate selected = mostSpecific(eligible);
        if (isAmbiguous(selected, eligible, candidates)) {
            return Optional.empty();
        }
        PartRefusal refusal =
                new PartRefusal(selected.part, selected.count(), selected.times.get(0), now.plus(REFUSAL_RETENTION));
        refusals.put(refusal.part(), refusal);
        return Optional.of(refusal);
    }

    private Collection<Candidate> candidates(List<Crash> open) {
        Map<Long, Candidate> candidates = new HashMap<>();
        for (Crash crash : open) {
            Set<Long> counted = new HashSet<>();
            for (List<Long> prompt : crash.prompts) {
                for (int index = 0; index < prompt.size(); index++) {
                    long part = prompt.get(index);
                    if (hasOutputSince(part, crash.at)) {
                        continue;
                    }
                    Candidate candidate = candidates.computeIfAbsent(part, Candidate::new);
                    candidate.firstParts.add(prompt.get(0));
                    if (candidate.ancestors == null) {
                        candidate.ancestors = new HashSet<>(prompt.subList(0, index));
                    } else {
                        candidate.ancestors.retainAll(prompt.subList(0, index));
                    }
                    if (counted.add(part)) {
                        candidate.times.add(crash.at);
                        if (candidate.count() <= MINIMUM_CRASHES) {
                            candidate.learnedAt(crash.learnedAt.plus(settleTime));
                        }
                    }
                }
            }
        }
        return candidates.values();
    }

    private boolean isEligible(Candidate candidate, List<Crash> open, Instant now) {
        int count = candidate.count();
        if (count < MINIMUM_CRASHES || now.isBefore(candidate.decidableAt)) {
            return false;
        }
        Instant first = candidate.times.get(0);
        List<Instant> since = open.stream()
                .map(crash -> crash.at)
                .filter(at -> !at.isBefore(first))
                .toList();
        if (count < SUFFICIENT_CRASHES && count < MINIMUM_SHARE * distinct(since)) {
            return false;
        }
        // While nothing produces output, as during a crash of all endpoints, a part without output is no evidence.
        return candidate.firstParts.contains(candidate.part)
                ? recentOutputs.size() == REQUIRED_OUTPUTS
                        && recentOutputs.peekFirst().isAfter(candidate.decidableAt.minus(settleTime))
                : candidate.firstParts.stream().anyMatch(part -> hasOutputSince(part, first));
    }

    private static Candidate mostSpecific(List<Candidate> eligible) {
        Candidate selected = eligible.get(0);
        for (Candidate other : eligible) {
            if (other.ancestors.contains(selected.part)) {
                selected = other;
            }
        }
        return selected;
    }

    /** Returns whether the same crashes may be due to another part, so that further crashes have to decide. */
    private static boolean isAmbiguous(Candidate selected, List<Candidate> eligible, Collection<Candidate> all) {
        boolean mayBeMoreSpecific = selected.count() < SUFFICIENT_CRASHES
                && all.stream()
                        .anyMatch(other ->
                                other.ancestors.contains(selected.part) && other.count() >= MINIMUM_CRASHES - 1);
        return mayBeMoreSpecific
                || eligible.stream()
                        .filter(other -> other != selected
                                && !other.ancestors.contains(selected.part)
                                && !selected.ancestors.contains(other.part))
                        .anyMatch(other -> other.count() >= selected.count()
                                && distinct(other.times.stream()
                                                .filter(at -> !selected.times.contains(at))
                                                .toList())
                                        < MINIMUM_CRASHES);
    }

    private static int distinct(List<Instant> ascending) {
        return CrashTimes.countDistinct(ascending, SIMULTANEOUS);
    }
}
