package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

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

    /** Time after which an unanswered append may be followed by another. */
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(2);

    private final HostId self;
    private final Duration leaseTerm;
    private final Map<EndpointId, Claim> claims = new HashMap<>();
    private Instant validUntil = Instant.MIN;
    private long era;
    private Instant startedAt = Instant.MAX;
    private Instant appendPendingUntil = Instant.MIN;
    private Instant invalidatedAt = Instant.MIN;

    private record Claim(HostId host, boolean settled, LogPosition position, Instant usableAt) {}

    LeaseManager(HostId self, Duration leaseTerm) {
        this.self = self;
        this.leaseTerm = leaseTerm;
    }

    /** Starts a new era: a lease is valid only under a claim that the restored log holds. */
    void beginEra(long newEra, Instant now) {
        era = newEra;
    }

    /** Applies a claim; older claims of the same runner are ignored. */
    void applyClaim(DecodedRecord.RunnerClaimed claimed, LogPosition position, Instant now) {
        Claim before = claims.get(claimed.endpoint());
        if (before != null && !before.position().isBefore(position)) {
            return;
        }
        era = Math.max(era, position.era());
        Instant usableAt =
                claimed.settled() ? now : now.plus(VALIDITY).plus(leaseTerm).plus(TAKEOVER_MARGIN);
        claims.put(claimed.endpoint(), new Claim(claimed.host(), claimed.settled(), position, usableAt));
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
        Duration silenceLimit = takeoverSilence(peers);
        Optional<Boolean> assignsRunners = Optional.empty();
        for (EndpointState runner : runners) {
            Claim claim = claims.get(runner.id());
            boolean ownClaim = claim != null && claim.host().equals(self);
            boolean settlesOwnClaim = ownClaim && !claim.settled() && !now.isBefore(claim.usableAt());
            boolean unclaimed = claim == null
                    || !ownClaim && peers.silence(claim.host(), now).compareTo(silenceLimit) > 0;
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
                DecodedRecord.RunnerClaimed claimed =
                        new DecodedRecord.RunnerClaimed(runner.id(), host, settlesOwnClaim || claim == null, era);
                return Optional.of(new ForwardingEffect.AppendClaim(claimed, claimsTopic.end()));
            }
        }
        return Optional.empty();
    }
}
