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
final class ClaimKeeper {
    /**
     * How long a claim counts after the start of the last read of the topic: twice the time that a read waits, and
     * longer than most outages of the platform's log, in which loads go on that long.
     */
    static final Duration VALIDITY = Duration.ofMillis(8000);

    /** Added to the time before a runner is taken over, for commands on their way and pauses too short to notice. */
    private static final Duration MARGIN = Duration.ofSeconds(1);

    /** Silence after which another host takes a runner over; a killed daemon is usually back before. */
    private static final Duration TAKEOVER_SILENCE = Duration.ofMillis(2500);

    /** Time after the start in which hosts get to know each other before they claim runners that nobody has. */
    private static final Duration SETTLING = Duration.ofMillis(1500);

    /** Time after which an append whose answer did not come may be followed by another. */
    private static final Duration APPEND_LIMIT = Duration.ofSeconds(2);

    private final HostId self;
    private final Duration leaseTerm;
    private final Map<EndpointId, Claim> claims = new HashMap<>();
    private Instant validUntil = Instant.MIN;
    private Instant startedAt = Instant.MAX;
    private Instant appendingUntil = Instant.MIN;
    private Instant distrustedBefore = Instant.MIN;

    private record Claim(HostId host, boolean settled, long offset, Instant usableAt) {}

    ClaimKeeper(HostId self, Duration leaseTerm) {
        this.self = self;
        this.leaseTerm = leaseTerm;
    }

    /** Takes a claim in the order of the log. */
    void claimed(DecodedRecord.RunnerClaimed fact, long offset, Instant now) {
        Claim before = claims.get(fact.endpoint());
        if (before != null && before.offset() >= offset) {
            return;
        }
        Instant usable =
                fact.settled() ? now : now.plus(VALIDITY).plus(leaseTerm).plus(MARGIN);
        claims.put(fact.endpoint(), new Claim(fact.host(), fact.settled(), offset, usable));
    }

    /** The topic was read; nothing that came before the start of the read is unknown. */
    void read(Instant readStartedAt) {
        if (readStartedAt.isAfter(distrustedBefore)) {
            Instant until = readStartedAt.plus(VALIDITY);
            validUntil = until.isAfter(validUntil) ? until : validUntil;
        }
    }

    /** Returns how long ago the last read began that is known to show all claims before it. */
    Duration age(Instant now) {
        return validUntil.equals(Instant.MIN) ? VALIDITY : Duration.between(validUntil.minus(VALIDITY), now);
    }

    /** This process stood still, so what it read before no longer counts. */
    void distrust(Instant now) {
        validUntil = Instant.MIN;
        distrustedBefore = now;
    }

    void appended() {
        appendingUntil = Instant.MIN;
    }

    /** Returns the fence under which this host may command a runner now. */
    Optional<Long> fence(EndpointId endpoint, Instant now) {
        Claim claim = claims.get(endpoint);
        return claim != null && claim.host().equals(self) && now.isBefore(validUntil) && !now.isBefore(claim.usableAt())
                ? Optional.of(claim.offset())
                : Optional.empty();
    }

    /** Returns the endpoints that this host has claimed. */
    List<EndpointId> own() {
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
    private boolean appendsForAll(PeerTable peers, Instant now) {
        return peers.firstAtLog(true, now).stream().findFirst().equals(Optional.of(self));
    }

    /** Assigns a runner that nobody commands, or settles the claim of one that this host took over. */
    Optional<ForwardingEffect> tick(
            Collection<EndpointState> runners, PeerTable peers, TopicFollower topic, boolean stopping, Instant now) {
        if (startedAt.equals(Instant.MAX)) {
            startedAt = now;
        }
        if (stopping
                || !topic.isAvailable()
                || now.isBefore(appendingUntil)
                || now.isBefore(startedAt.plus(SETTLING))
                || now.isAfter(validUntil)) {
            return Optional.empty();
        }
        Duration silenceLimit = takeoverSilence(peers);
        Optional<Boolean> appendsForAll = Optional.empty();
        for (EndpointState runner : runners) {
            Claim claim = claims.get(runner.id());
            boolean own = claim != null && claim.host().equals(self);
            boolean settles = own && !claim.settled() && !now.isBefore(claim.usableAt());
            boolean orphaned =
                    claim == null || !own && peers.silence(claim.host(), now).compareTo(silenceLimit) > 0;
            if (orphaned && appendsForAll.isEmpty()) {
                appendsForAll = Optional.of(appendsForAll(peers, now));
            }
            if (settles || orphaned && runner.takesRequests(now) && appendsForAll.get()) {
                if (!peers.hearsMost(now)) {
                    return Optional.empty();
                }
                appendingUntil = now.plus(APPEND_LIMIT);
                HostId host = settles
                        ? self
                        : RendezvousHash.first(runner.id().value(), peers.strong(peers.live(now)))
                                .orElse(self);
                DecodedRecord.RunnerClaimed fact =
                        new DecodedRecord.RunnerClaimed(runner.id(), host, settles || claim == null);
                return Optional.of(new ForwardingEffect.AppendClaim(fact, topic.end()));
            }
        }
        return Optional.empty();
    }
}
