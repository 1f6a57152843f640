package org.banyanstair.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Keeps the requests of this host to an endpoint within its part of a limit, by the generic cell rate algorithm (ITU-T
 * I.371). Not thread-safe.
 */
public final class RequestPacer {
    private Optional<LimitShares.Share> share = Optional.empty();
    private Instant theoreticalArrival = Instant.MIN;

    /**
     * Sets the part that this host may use.
     *
     * @param newer empty if it may not send any request
     * @param usedUntil when the endpoint last responded to any host; a host that begins to use the limit counts from
     *     then, so that it adds no burst
     */
    public void setShare(Optional<LimitShares.Share> newer, Instant usedUntil) {
        if (share.isEmpty() && newer.isPresent()) {
            Instant start = usedUntil.plus(
                    interval(newer.get(), newer.get().turn() + newer.get().burst() - 1));
            theoreticalArrival = start.isAfter(theoreticalArrival) ? start : theoreticalArrival;
        }
        share = newer;
    }

    /** Counts a request that is sent. */
    public void recordRequest(Instant now) {
        share.ifPresent(current -> {
            Instant base = now.isAfter(theoreticalArrival) ? now : theoreticalArrival;
            theoreticalArrival = base.plus(interval(current, 1));
        });
    }

    /** Returns when the next request may be sent; {@link Instant#MAX} if none may. */
    public Instant nextRequestAt() {
        return share.map(current -> theoreticalArrival.equals(Instant.MIN)
                        ? Instant.MIN
                        : theoreticalArrival.minus(interval(current, current.burst() - 1)))
                .orElse(Instant.MAX);
    }

    private static Duration interval(LimitShares.Share share, double requests) {
        return Duration.ofNanos((long) (Duration.ofSeconds(1).toNanos() * requests / share.perSecond()));
    }
}
