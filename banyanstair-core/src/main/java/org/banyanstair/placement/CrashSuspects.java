package org.banyanstair.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;

/**
 * Counts, for the whole system, the endpoint crashes at which each request was running.
 *
 * <p>A request is refused only if it has crashed at least two endpoints and one of them ran nothing else, because only
 * then the crash cannot have been caused by another request. Not safe for use by several threads.
 */
public final class CrashSuspects {
    /** Crashes from which on a request runs alone on its endpoint. */
    public static final int CRASHES_BEFORE_ISOLATION = 2;

    private final Map<Fingerprint, Suspect> suspects = new HashMap<>();
    private final Set<CrashId> crashes = new HashSet<>();

    private record CrashId(EndpointId endpoint, long incarnation) {}

    private record Suspect(int crashes, boolean crashedAlone) {}

    /**
     * Applies a record, from the log or from a pool of this host.
     *
     * @param record the record; a crash that was applied before has no effect
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

    /**
     * Returns the crashes at which a request was running.
     *
     * @param fingerprint fingerprint of the request
     * @return number of crashes since it last completed
     */
    public int crashCount(Fingerprint fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect == null ? 0 : suspect.crashes();
    }

    /**
     * Tells whether a request is refused.
     *
     * @param fingerprint fingerprint of the request
     * @return true if it crashed two endpoints or more, one of them while it ran alone
     */
    public boolean isRefused(Fingerprint fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null && suspect.crashes() >= CRASHES_BEFORE_ISOLATION && suspect.crashedAlone();
    }
}
