package org.banyanstair.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;

/**
 * Counts, across all pools, the endpoint crashes during which each request was running.
 *
 * <p>A request is refused only after at least two crashes, at least one of which happened while it ran alone: only
 * that one cannot have been caused by another request. Not thread-safe.
 */
public final class CrashSuspects {
    /** Number of crashes after which a request is isolated, that is, runs alone on its endpoint. */
    public static final int CRASHES_BEFORE_ISOLATION = 2;

    private final Map<Fingerprint, Suspect> suspects = new HashMap<>();
    private final Set<CrashId> crashes = new HashSet<>();

    private record CrashId(EndpointId endpoint, long incarnation) {}

    private record Suspect(int crashes, boolean crashedAlone) {}

    /**
     * Applies a record that was read from the log or created by a pool of this host.
     *
     * @param record the record; a crash that was already applied has no effect
     */
    public void apply(SuspectRecord record) {
        if (record instanceof SuspectRecord.Cleared cleared) {
            suspects.remove(cleared.fingerprint());
        } else if (record instanceof SuspectRecord.Crash crash) {
            if (crashes.add(new CrashId(crash.endpoint(), crash.incarnation()))) {
                boolean alone = crash.running().size() == 1;
                crash.running().forEach(fingerprint -> count(fingerprint, alone));
            }
        }
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
