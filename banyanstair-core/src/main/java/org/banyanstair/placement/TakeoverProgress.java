package org.banyanstair.placement;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.banyanstair.membership.Membership;
import org.banyanstair.model.HostId;
import org.banyanstair.reducer.ReducerSettings;

/**
 * Tracks which hosts have reported the permits that they hold from earlier owners. Adapters loaded before the takeover
 * must not be unloaded until all hosts have reported.
 */
final class TakeoverProgress {
    private final Instant startedAt;
    private final ReducerSettings settings;
    private final Set<HostId> replied = new HashSet<>();
    private boolean complete;

    TakeoverProgress(Instant startedAt, ReducerSettings settings) {
        this.startedAt = startedAt;
        this.settings = settings;
    }

    void markReplied(HostId host) {
        replied.add(host);
    }

    List<HostId> hostsWithoutReply(Membership membership) {
        return membership.listing().hosts().stream()
                .map(entry -> entry.id())
                .filter(host -> !replied.contains(host))
                .toList();
    }

    /**
     * Completes the takeover once all hosts have replied and the host list lag has passed, because a host may hold
     * permits before the host list shows it. Returns true only for the call that completes the takeover.
     */
    boolean tryComplete(Membership membership, Instant now) {
        boolean lagPassed = !now.isBefore(startedAt.plus(settings.hostListLag()));
        boolean completedNow =
                !complete && lagPassed && hostsWithoutReply(membership).isEmpty();
        complete |= completedNow;
        return completedNow;
    }

    boolean isComplete() {
        return complete;
    }
}
