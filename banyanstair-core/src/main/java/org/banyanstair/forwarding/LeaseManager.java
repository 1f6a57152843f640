package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.ownership.RendezvousHash;

/**
 * Decides which host commands each runner, with claims in the platform's log.
 *
 * <p>The offset of a claim is its fence. A claim counts only while this host has read the topic of claims lately; a
 * host that takes a runner over from another waits until the other cannot have sent a command for the lease term, and
 * then settles its claim with a second record. Claims name machines, so a daemon that restarts goes on at once under a
 * settled claim of its earlier run.
 */
final class LeaseManager {
    /**
     * How long a claim counts after the start of the last read of the topic: twice the time that a read waits, and
     * longer than most outages of the platform's log, in which loads go on that long.
     */
    static final Duration VALIDITY = Duration.ofMillis(8000);

    /** Added to the time before a runner is taken over, for commands on their way and pauses too short to notice. */
    private static final Duration TAKEOVER_MARGIN = Duration.ofSeconds(1);

    /** Silence after which another host takes a runner over; a killed daemon is usually back before. */
    private static final Duration TAKEOVER_SILENCE = Duration.ofMillis(2500);

    /** Time after the start in which hosts get to know each other before they claim runners that nobody has. */
    private static final Duration STARTUP_DELAY = Duration.ofMillis(1500);

    /** Time after which an append whose answer did not come may be followed by another. */
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(2);

    private final HostId self;
    private final Duration leaseTerm;
    private final Map<EndpointId, Claim> claims = new HashMap<>();
    private Instant validUntil = Instant.MIN;
    private Instant startedAt = Instant.MAX;
    private Instant appendPendingUntil = Instant.MIN;
    private Instant invalidatedAt = Instant.MIN;

    private record Claim(HostId host, boolean settled, long offset, Instant usableAt) {}

    LeaseManager(HostId self, Duration leaseTerm) {
        this.self = self;
        this.leaseTerm = leaseTerm;
    }

    /** Takes a claim in the order of the log. */
    void applyClaim(DecodedRecord.RunnerClaimed claimed, long offset, Instant now) {
        Claim before = claims.get(claimed.endpoint());
        if (before != null && before.offset() >= offset) {
            return;
        }
        Instant usableAt =
                claimed.settled() ? now : now.plus(VALIDITY).plus(leaseTerm).plus(TAKEOVER_MARGIN);
        claims.put(claimed.endpoint(), new Claim(claimed.host(), claimed.settled(), offset, usableAt));
    }

    /** The topic was read; nothing that came before the start of the read is unknown. */
    void confirm(Instant readStartedAt) {
        if (readStartedAt.isAfter(invalidatedAt)) {
            Instant until = readStartedAt.plus(VALIDITY);
            validUntil = until.isAfter(validUntil) ? until : validUntil;
        }
    }

    /** Returns how long ago the last read began that is known to show all claims before it. */
    Duration confirmationAge(Instant now) {
        return validUntil.equals(Instant.MIN) ? VALIDITY : Duration.between(validUntil.minus(VALIDITY), now);
    }

    /** This process stood still, so what it read before no longer counts. */
    void invalidate(Instant now) {
        validUntil = Instant.MIN;
        invalidatedAt = now;
    }

    void appendCompleted() {
        appendPendingUntil = Instant.MIN;
    }

    /** Returns the fence under which this host may command a runner now. */
    Optional<Long> fencingToken(EndpointId endpoint, Instant now) {
        Claim claim = claims.get(endpoint);
        return claim != null && claim.host().equals(self) && now.isBefore(validUntil) && !now.isBefore(claim.usableAt())
                ? Optional.of(claim.offset())
                : Optional.empty();
    }

    /** Returns the endpoints that this host has claimed. */
    List<EndpointId> claimedRunners() {
        List<EndpointId> result = new ArrayList<>();
        claims.forEach((endpoint, claim) -> {
            if (claim.host().equals(self)) {
                result.add(endpoint);
            }
        });
        return result;
    }

    /** A host is silent for longer than it takes to count as not live, so that the others rank alike. */
    private static Duration takeoverSilence(PeerTable peers) {
        Duration live = peers.liveLimit();
        return live.compareTo(TAKEOVER_SILENCE) > 0 ? live : TAKEOVER_SILENCE;
    }

    /** Returns whether this host assigns runners, since appends of several hosts at a time would refuse each other. */
    private boolean assignsRunners(PeerTable peers, Instant now) {
        return peers.logReaders(true, now).stream().findFirst().equals(Optional.of(self));
    }

    /** Assigns a runner that nobody commands, or settles the claim of one that this host took over. */
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
                if (!peers.hearsMajority(now)) {
                    return Optional.empty();
                }
                appendPendingUntil = now.plus(APPEND_TIMEOUT);
                HostId host = settlesOwnClaim
                        ? self
                        : RendezvousHash.first(runner.id().value(), peers.strongHosts(peers.live(now)))
                                .orElse(self);
                DecodedRecord.RunnerClaimed claimed =
                        new DecodedRecord.RunnerClaimed(runner.id(), host, settlesOwnClaim || claim == null);
                return Optional.of(new ForwardingEffect.AppendClaim(claimed, claimsTopic.end()));
            }
        }
        return Optional.empty();
    }
}
