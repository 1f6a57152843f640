package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.history.LogPosition;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.ownership.RendezvousHash;

/**
 * Assigns the lease of each runner to one host, with claims in the platform's log.
 *
 * <p>The position of a claim is its fencing token. A lease is valid only while this host has read the claims topic
 * recently. A host that takes a runner over waits until the previous holder cannot have sent a command for the lease
 * term, and then settles its claim with a second record. Claims name hosts, not processes, so a restarted daemon
 * continues at once under a settled claim of its earlier run.
 *
 * <p>When the log was restored from a copy, claims may be missing and earlier ones may be back. A claim names the era in
 * which it was made, and settles nothing in a later one: only the host that held the lease all the while goes on under
 * what the copy has of its claim, or renews it. Any other host waits as for a takeover, and so does one that finds no
 * claim, until the wait has passed since it learned of the era.
 */
final class LeaseManager {
    /**
     * How long a lease is valid after the start of the last read of the topic: twice the wait of a read, and longer
     * than most outages of the log, so that loads continue through them.
     */
    static final Duration VALIDITY = Duration.ofMillis(8000);

    /** Added to the wait before a takeover, for commands in flight and pauses too short to be detected. */
    private static final Duration TAKEOVER_MARGIN = Duration.ofSeconds(1);

    /** Silence of a lease holder after which its runners are taken over; a killed daemon is usually back earlier. */
    private static final Duration TAKEOVER_SILENCE = Duration.ofMillis(2500);

    /** Time after the start in which hosts discover each other before they claim unassigned runners. */
    private static final Duration STARTUP_DELAY = Duration.ofMillis(1500);

    /** Time between two attempts to write a lost claim again; other hosts append as well, and one succeeds each time. */
    private static final Duration LOST_RENEWAL_INTERVAL = Duration.ofMillis(200);

    /** Time between two renewals of claims that the copy has, since nothing waits for them. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);

    /** Time after which an unanswered append may be followed by another. */
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(2);

    private final HostId self;
    private final Duration leaseTerm;
    private final Map<EndpointId, Claim> claims = new HashMap<>();
    private Instant validUntil = Instant.MIN;
    private long era;
    private final boolean systemStarts;
    private Instant eraSettledAt = Instant.MIN;
    private boolean restoreSeen;
    private boolean startsWithEra;
    private final Set<EndpointId> heldAcrossRestore = new HashSet<>();
    private Instant nextRenewalAt = Instant.MIN;
    private Instant startedAt = Instant.MAX;
    private Instant appendPendingUntil = Instant.MIN;
    private Instant invalidatedAt = Instant.MIN;

    /**
     * A claim as this host knows it.
     *
     * @param carriedOver whether it was made in an earlier era than that of its position
     */
    private record Claim(HostId host, boolean settled, boolean carriedOver, LogPosition position, Instant usableAt) {}

    /**
     * Creates a manager that knows no claims.
     *
     * @param systemStarts whether the whole system starts for the first time, so that no host holds a lease
     */
    LeaseManager(HostId self, Duration leaseTerm, boolean systemStarts) {
        this.self = self;
        this.leaseTerm = leaseTerm;
        this.systemStarts = systemStarts;
    }

    /**
     * Starts an era of the log.
     *
     * @param restored whether this host knew an earlier one; what it holds then, it may go on holding
     */
    void beginEra(long newEra, boolean restored, Instant now) {
        if (restored) {
            heldAcrossRestore.removeIf(endpoint -> !now.isBefore(validUntil));
            claims.keySet().stream()
                    .filter(endpoint -> fencingToken(endpoint, now).isPresent())
                    .forEach(heldAcrossRestore::add);
            nextRenewalAt = now;
        }
        era = newEra;
        restoreSeen = restored;
        startsWithEra = systemStarts && !restored;
        // A log without eras is never restored.
        eraSettledAt = era == 0 ? Instant.MIN : now.plus(takeoverWait());
    }

    /**
     * Applies what a peer knows of an era.
     *
     * @param settled whether it has known the era for so long that no host can hold a lease of an earlier one
     * @param restored whether it knows that an earlier era came before
     */
    void eraKnownByPeer(long peerEra, boolean settled, boolean restored) {
        if (peerEra == era) {
            eraSettledAt = settled ? Instant.MIN : eraSettledAt;
            restoreSeen |= restored;
        }
    }

    private Duration takeoverWait() {
        return VALIDITY.plus(leaseTerm).plus(TAKEOVER_MARGIN);
    }

    /** Returns whether this host has known the era for so long that no host can hold a lease of an earlier one. */
    boolean knowsEraSettled(Instant now) {
        return era != 0 && !now.isBefore(eraSettledAt);
    }

    /** Returns whether this host knows that an earlier era came before. */
    boolean hasSeenRestore() {
        return restoreSeen;
    }

    /** Returns whether no other host can hold a lease under a claim that a restore of the log has lost. */
    private boolean isEraSettled(Instant now) {
        return !now.isBefore(eraSettledAt) || startsWithEra && !restoreSeen;
    }

    /** Applies a claim; older claims of the same runner are ignored. */
    void applyClaim(DecodedRecord.RunnerClaimed claimed, LogPosition position, Instant now) {
        EndpointId endpoint = claimed.endpoint();
        Claim before = claims.get(endpoint);
        if (before != null && !before.position().isBefore(position)) {
            return;
        }
        boolean own = claimed.host().equals(self);
        boolean carriedOver = claimed.era() < position.era();
        boolean held = own && carriedOver && heldAcrossRestore.contains(endpoint);
        if (!held) {
            heldAcrossRestore.remove(endpoint);
        }
        boolean usableInEra = held || claimed.settled() && !carriedOver;
        Instant usableAt = usableInEra ? now : now.plus(takeoverWait());
        if (claimed.settled() && carriedOver && !held) {
            // Whoever held the lease last in an earlier era has written its claim again by then.
            usableAt = isEraSettled(now) ? now : eraSettledAt;
        }
        claims.put(endpoint, new Claim(claimed.host(), usableInEra, carriedOver, position, usableAt));
    }

    /**
     * Extends the validity of the leases after a read of the topic, which returned all claims from before its start.
     */
    void confirm(Instant readStartedAt) {
        if (readStartedAt.isAfter(invalidatedAt)) {
            Instant until = readStartedAt.plus(VALIDITY);
            validUntil = until.isAfter(validUntil) ? until : validUntil;
        }
    }

    /** Returns the time since the start of the last read that confirmed the claims. */
    Duration confirmationAge(Instant now) {
        return validUntil.equals(Instant.MIN) ? VALIDITY : Duration.between(validUntil.minus(VALIDITY), now);
    }

    /** Invalidates earlier reads after a pause of this process. */
    void invalidate(Instant now) {
        validUntil = Instant.MIN;
        invalidatedAt = now;
    }

    void appendCompleted() {
        appendPendingUntil = Instant.MIN;
    }

    /** Returns the fencing token under which this host may command a runner now; empty without a valid lease. */
    Optional<Long> fencingToken(EndpointId endpoint, Instant now) {
        Claim claim = claims.get(endpoint);
        return claim != null
                        && claim.host().equals(self)
                        && claim.position().era() == era
                        && now.isBefore(validUntil)
                        && !now.isBefore(claim.usableAt())
                ? Optional.of(claim.position().toNumber())
                : Optional.empty();
    }

    /** Returns the runners that are claimed for this host, including claims that are not valid yet. */
    List<EndpointId> claimedRunners() {
        List<EndpointId> result = new ArrayList<>();
        claims.forEach((endpoint, claim) -> {
            if (claim.host().equals(self)) {
                result.add(endpoint);
            }
        });
        return result;
    }

    /**
     * Returns the silence before a takeover, at least the time after which a host counts as not live, so that all hosts
     * rank the same candidates.
     */
    private static Duration takeoverSilence(PeerTable peers) {
        Duration live = peers.liveLimit();
        return live.compareTo(TAKEOVER_SILENCE) > 0 ? live : TAKEOVER_SILENCE;
    }

    /**
     * Returns whether this host is the one that appends claims; concurrent appends of several hosts would be rejected.
     */
    private boolean assignsRunners(PeerTable peers, Instant now) {
        return peers.logReaders(true, now).stream().findFirst().equals(Optional.of(self));
    }

    /** Claims an unassigned runner for a host, or settles the claim of a runner that this host took over. */
    Optional<ForwardingEffect> tick(
            Collection<EndpointState> runners,
            PeerTable peers,
            TopicConsumer claimsTopic,
            boolean stopping,
            Instant now) {
        if (startedAt.equals(Instant.MAX)) {
            startedAt = now;
        }
        if (stopping
                || !claimsTopic.isAvailable()
                || claimsTopic.end().era() != era
                || now.isBefore(appendPendingUntil)
                || now.isBefore(startedAt.plus(STARTUP_DELAY))
                || now.isAfter(validUntil)) {
            return Optional.empty();
        }
        if (isEraSettled(now)) {
            heldAcrossRestore.removeIf(this::isLost);
            claims.keySet().removeIf(this::isLost);
        }
        Duration silenceLimit = takeoverSilence(peers);
        Optional<Boolean> assignsRunners = Optional.empty();
        for (EndpointState runner : runners) {
            Claim claim = claims.get(runner.id());
            boolean ownClaim = claim != null && claim.host().equals(self);
            boolean lost = isLost(runner.id());
            boolean settlesOwnClaim = ownClaim
                    && (lost || claim.carriedOver() && claim.settled()
                            ? renews(runner.id(), lost, now)
                            : !claim.settled() && !now.isBefore(claim.usableAt()));
            // What holds a lease of an earlier era writes its claim again before the era is settled.
            boolean unclaimed = claim == null
                    ? isEraSettled(now)
                    : !lost && !ownClaim && peers.silence(claim.host(), now).compareTo(silenceLimit) > 0;
            if (unclaimed && assignsRunners.isEmpty()) {
                assignsRunners = Optional.of(assignsRunners(peers, now));
            }
            if (settlesOwnClaim || unclaimed && runner.acceptsRequests(now) && assignsRunners.get()) {
                if (!peers.reachesMajority(now)) {
                    return Optional.empty();
                }
                appendPendingUntil = now.plus(APPEND_TIMEOUT);
                HostId host = settlesOwnClaim
                        ? self
                        : RendezvousHash.first(runner.id().value(), peers.strongHosts(peers.live(now)))
                                .orElse(self);
                boolean settled = settlesOwnClaim || claim == null;
                DecodedRecord.RunnerClaimed claimed = new DecodedRecord.RunnerClaimed(runner.id(), host, settled, era);
                return Optional.of(new ForwardingEffect.AppendClaim(claimed, claimsTopic.end()));
            }
        }
        return Optional.empty();
    }

    /** Returns whether the newest known claim of a runner is of an earlier era, and missing from the restored log. */
    private boolean isLost(EndpointId endpoint) {
        Claim claim = claims.get(endpoint);
        return claim != null && claim.position().era() < era;
    }

    /**
     * Returns whether this host writes the claim of a runner again that it has held since before the log was restored:
     * soon if the claim was lost, and otherwise one after the other once the era is settled.
     */
    private boolean renews(EndpointId endpoint, boolean lost, Instant now) {
        boolean due = heldAcrossRestore.contains(endpoint)
                && now.isBefore(validUntil)
                && !now.isBefore(nextRenewalAt)
                && (lost || isEraSettled(now));
        if (due) {
            nextRenewalAt = now.plus(lost ? LOST_RENEWAL_INTERVAL : RENEWAL_INTERVAL);
        }
        return due;
    }
}
