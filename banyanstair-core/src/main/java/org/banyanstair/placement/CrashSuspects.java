package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.crashes.CrashAttribution;
import org.banyanstair.crashes.PartRefusal;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;

/**
 * Counts, across all pools, the endpoint crashes during which each request was running.
 *
 * <p>A request is refused only after at least two crashes, at least one of which happened while it ran alone: only
 * that one cannot have been caused by another request. Requests that differ but share a prompt part which crashes
 * endpoints are found by {@link CrashAttribution}. Not thread-safe.
 */
public final class CrashSuspects {
    /** Number of crashes after which a request is isolated, that is, runs alone on its endpoint. */
    public static final int CRASHES_BEFORE_ISOLATION = 2;

    /** Time after a crash in which requests that ran elsewhere at the same time complete. */
    private static final Duration SETTLE_TIME = Duration.ofMillis(1200);

    private final CrashAttribution attribution = new CrashAttribution(SETTLE_TIME);
    private final Map<Fingerprint, Suspect> suspects = new HashMap<>();
    private final Set<CrashId> crashes = new HashSet<>();

    private record CrashId(EndpointId endpoint, long incarnation) {}

    private record Suspect(int crashes, boolean crashedAlone) {}

    /**
     * Applies a record that was read from the log or created by a pool of this host.
     *
     * @param record the record; a crash that was already applied has no effect
     */
    public void apply(SuspectRecord record, Instant now) {
        if (record instanceof SuspectRecord.Cleared cleared) {
            suspects.remove(cleared.fingerprint());
        } else if (record instanceof SuspectRecord.Crash crash) {
            if (crashes.add(new CrashId(crash.endpoint(), crash.incarnation()))) {
                boolean alone = crash.running().size() == 1;
                crash.running().forEach(fingerprint -> count(fingerprint, alone));
                crash.prompts()
                        .forEach(parts -> attribution.addCrash(crash.endpoint(), crash.incarnation(), now, parts, now));
            }
        } else if (record instanceof SuspectRecord.PartRefused refused) {
            attribution.adopt(
                    new PartRefusal(
                            refused.part(), refused.crashes(), now, now.plus(CrashAttribution.REFUSAL_RETENTION)),
                    now);
        } else if (record instanceof SuspectRecord.PartCleared cleared) {
            attribution.addPeerOutput(cleared.part(), now);
        }
    }

    /** Records that a request with these prompt parts completed; returns the refused parts that this clears. */
    List<Long> completed(List<Long> parts, Instant now) {
        return attribution.addOutput(parts, now).stream().map(PartRefusal::part).toList();
    }

    /** Refuses the prompt part to which the crashes point, if there is one; returns it. */
    Optional<PartRefusal> attribute(Instant now) {
        return attribution.attribute(now);
    }

    /** Returns whether requests with one of these prompt parts crash endpoints. */
    boolean isPartRefused(List<Long> parts, Instant now) {
        return attribution.refusedPart(parts, now).isPresent();
    }

    private void count(Fingerprint fingerprint, boolean alone) {
        Suspect before = suspects.getOrDefault(fingerprint, new Suspect(0, false));
        suspects.put(fingerprint, new Suspect(before.crashes() + 1, before.crashedAlone() || alone));
    }

    /** Returns the number of crashes since the request last completed. */
    public int crashCount(Fingerprint fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect == null ? 0 : suspect.crashes();
    }

    /** Whether the request was involved in at least two crashes, at least one of them while it ran alone. */
    public boolean isRefused(Fingerprint fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null && suspect.crashes() >= CRASHES_BEFORE_ISOLATION && suspect.crashedAlone();
    }
}
