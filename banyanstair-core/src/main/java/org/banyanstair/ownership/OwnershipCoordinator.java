package org.banyanstair.ownership;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.external.LogEntry;
import org.banyanstair.external.LogStreams;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EndpointKind;
import org.banyanstair.membership.Membership;
import org.banyanstair.model.HostId;
import org.banyanstair.model.PoolId;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.reducer.Sequence;

/**
 * Claims pools for this host: a pool is claimed when it has no owner, or its owner is terminated, leaving or
 * unreachable, and this host ranks first among the available hosts. Also renews claims and watches other owners.
 *
 * <p>Two hosts may claim a pool concurrently; the later claim in the log wins. Not thread-safe.
 */
public final class OwnershipCoordinator {
    /** Number of highest-ranked successors that watch the owner of a pool. */
    private static final int WATCHING_SUCCESSORS = 2;

    /** Peers that every host watches, so that it can tell a failed owner from its own isolation. */
    private static final int WATCHED_PEERS = 2;

    private static final int RENEWALS_PER_RETENTION = 3;

    private final Membership membership;
    private final ReducerSettings settings;
    private final Sequence sequence;
    private final OwnershipState state = new OwnershipState();
    private final Map<PoolId, Instant> nextClaimAt = new HashMap<>();
    private final Map<PoolId, Instant> unownedSince = new HashMap<>();
    private Set<HostId> watchedPeers = Set.of();
    private long watchedListingChangeCount = -1;
    private Map<PoolId, Ownership> watchedOwners = Map.of();
    private boolean caughtUp;
    private boolean logUnavailable;
    private Instant nextRenewalAt = Instant.MIN;

    /** Creates a coordinator that knows no claims. */
    public OwnershipCoordinator(Membership membership, ReducerSettings settings, Sequence sequence) {
        this.membership = membership;
        this.settings = settings;
        this.sequence = sequence;
    }

    /** Returns the state read from the ownership stream. */
    public OwnershipState state() {
        return state;
    }

    /** Starts reading the ownership stream. */
    public void start(Effects effects) {
        effects.add(new Effect.FollowStream(LogStreams.OWNERSHIP, 0));
    }

    /** Records that the ownership stream was read to its end. */
    public void markCaughtUp() {
        caughtUp = true;
        if (logUnavailable) {
            // Renewals may have been missed during the outage, and claims may have expired.
            logUnavailable = false;
            nextRenewalAt = Instant.MIN;
        }
    }

    /** Records that the ownership stream cannot be read. */
    public void markLogUnavailable() {
        logUnavailable = true;
    }

    /** Whether the ownership stream was read to its end at least once. */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /** Returns the pools of the engines in the host list. */
    public Set<PoolId> enginePools() {
        Set<PoolId> pools = new LinkedHashSet<>();
        membership.listing().endpoints().stream()
                .filter(endpoint -> endpoint.kind() == EndpointKind.ENGINE)
                .map(Endpoint::pool)
                .forEach(pools::add);
        return pools;
    }

    /** Appends claims and renewals that are due, and updates the watched peers. */
    public void tick(Instant now, Effects effects) {
        if (!caughtUp || !membership.hasListing()) {
            return;
        }
        enginePools().forEach(pool -> claimIfDue(pool, now, effects));
        updateWatchesIfChanged(effects);
        renewIfDue(now, effects);
    }

    private void claimIfDue(PoolId pool, Instant now, Effects effects) {
        if (isOwned(pool)) {
            unownedSince.remove(pool);
            return;
        }
        Instant since = unownedSince.computeIfAbsent(pool, id -> now);
        boolean claimPending = now.isBefore(nextClaimAt.getOrDefault(pool, Instant.MIN));
        boolean ranksFirst = RendezvousHash.first(pool.value(), membership.availableHosts())
                .filter(membership.self().host()::equals)
                .isPresent();
        if (ranksFirst && !claimPending && isClaimDue(pool, since, now) && !isIsolated()) {
            nextClaimAt.put(pool, now.plus(settings.retryInterval().multipliedBy(2)));
            effects.add(new Effect.AppendToLog(
                    sequence.next(),
                    LogStreams.OWNERSHIP,
                    List.<LogEntry>of(new OwnershipRecord.Claim(pool, membership.self()))));
        }
    }

    /** A terminated or leaving owner is replaced at once, an unreachable one only after a time limit. */
    private boolean isClaimDue(PoolId pool, Instant since, Instant now) {
        Optional<Ownership> ownership = state.owner(pool);
        boolean onlyUnreachable = ownership
                .filter(owner -> !membership.isTerminated(owner.owner())
                        && membership.isUnreachable(owner.owner().host()))
                .isPresent();
        return !onlyUnreachable || !now.isBefore(since.plus(settings.ownerTimeout()));
    }

    private boolean isOwned(PoolId pool) {
        return state.owner(pool)
                .filter(ownership -> !membership.isTerminated(ownership.owner()))
                .filter(ownership -> membership.isAvailable(ownership.owner().host()))
                .isPresent();
    }

    /** Whether all watched peers are unreachable, so that this host is probably isolated and must not claim pools. */
    private boolean isIsolated() {
        return !watchedPeers.isEmpty() && watchedPeers.stream().allMatch(membership::isUnreachable);
    }

    /** Ranks the hosts only after a change: with a few hundred hosts, ranking on each tick takes more than a core. */
    private void updateWatchesIfChanged(Effects effects) {
        if (watchedListingChangeCount != membership.listingChangeCount() || !watchedOwners.equals(state.owners())) {
            watchedListingChangeCount = membership.listingChangeCount();
            watchedOwners = Map.copyOf(state.owners());
            updateWatches(effects);
        }
    }

    private void updateWatches(Effects effects) {
        Set<HostId> peersToWatch = new HashSet<>();
        HostId self = membership.self().host();
        List<HostId> liveHosts = membership.listing().liveHosts();
        List<HostId> others =
                liveHosts.stream().filter(host -> !host.equals(self)).toList();
        RendezvousHash.rank("watched by " + self, others).stream()
                .limit(WATCHED_PEERS)
                .forEach(peersToWatch::add);
        for (PoolId pool : enginePools()) {
            state.owner(pool)
                    .map(ownership -> ownership.owner().host())
                    .filter(owner -> !owner.equals(self) && isSuccessor(pool, owner, liveHosts))
                    .ifPresent(peersToWatch::add);
        }
        peersToWatch.stream()
                .filter(host -> !watchedPeers.contains(host))
                .forEach(host -> effects.add(new Effect.WatchPeer(host)));
        watchedPeers.stream()
                .filter(host -> !peersToWatch.contains(host))
                .forEach(host -> effects.add(new Effect.UnwatchPeer(host)));
        watchedPeers = peersToWatch;
    }

    private boolean isSuccessor(PoolId pool, HostId owner, List<HostId> liveHosts) {
        List<HostId> successors =
                liveHosts.stream().filter(host -> !host.equals(owner)).toList();
        return RendezvousHash.rank(pool.value(), successors).stream()
                .limit(WATCHING_SUCCESSORS)
                .anyMatch(membership.self().host()::equals);
    }

    private void renewIfDue(Instant now, Effects effects) {
        if (now.isBefore(nextRenewalAt)) {
            return;
        }
        nextRenewalAt = now.plus(settings.logRetention().dividedBy(RENEWALS_PER_RETENTION));
        List<LogEntry> renewals = state.owners().entrySet().stream()
                .filter(entry -> entry.getValue().owner().equals(membership.self()))
                .map(entry -> (LogEntry) new OwnershipRecord.Renewal(
                        entry.getKey(), membership.self(), entry.getValue().term()))
                .toList();
        if (!renewals.isEmpty()) {
            effects.add(new Effect.AppendToLog(sequence.next(), LogStreams.OWNERSHIP, renewals));
        }
    }
}
