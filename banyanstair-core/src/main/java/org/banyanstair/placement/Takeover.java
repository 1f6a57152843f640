package org.banyanstair.placement;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.banyanstair.membership.Membership;
import org.banyanstair.model.HostId;
import org.banyanstair.reducer.ReducerSettings;

/**
 * Tracks which hosts have reported the permits that they hold from earlier owners. Until all have, adapters that were
 * loaded before the takeover must not be unloaded.
 */
final class Takeover {
    private final Instant takenAt;
    private final ReducerSettings settings;
    private final Set<HostId> replied = new HashSet<>();
    private boolean complete;

    Takeover(Instant takenAt, ReducerSettings settings) {
        this.takenAt = takenAt;
        this.settings = settings;
    }

    void replied(HostId host) {
        replied.add(host);
    }

    List<HostId> missing(Membership membership) {
        return membership.listing().hosts().stream()
                .map(entry -> entry.id())
                .filter(host -> !replied.contains(host))
                .toList();
    }

    /**
     * A host may hold permits before the host list shows it, so the lag of the list has to pass as well. Returns true
     * at the moment of completion.
     */
    boolean update(Membership membership, Instant now) {
        boolean lagPassed = !now.isBefore(takenAt.plus(settings.hostListLag()));
        boolean completes = !complete && lagPassed && missing(membership).isEmpty();
        complete |= completes;
        return completes;
    }

    boolean isComplete() {
        return complete;
    }
}
