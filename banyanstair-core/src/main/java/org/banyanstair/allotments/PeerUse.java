package org.banyanstair.allotments;

import java.time.Duration;
import java.time.Instant;

import org.banyanstair.peer.TeamUsage;

/**
 * What a peer has reported of a team, and what it is assumed to have admitted since if its reports stay away.
 *
 * <p>A peer that admits requests reports in each interval, and once more after the last one. Without the assumption,
 * hosts that lose each other would each admit the whole demand until they notice. Not thread-safe.
 */
final class PeerUse {
    /** Age of a report that the longest way over relays explains. */
    private static final Duration USUAL_AGE = Duration.ofMillis(350);

    /** Age up to which a peer is assumed to go on; by then it counts as not reached. */
    private static final Duration MAXIMUM_AGE = Duration.ofMillis(1500);

    private final RateEstimator rate = new RateEstimator();
    private TeamUsage last;
    private Instant lastAt;
    private boolean active;
    private double assumed;

    PeerUse(TeamUsage first, Instant now) {
        last = first;
        lastAt = now;
    }

    /** Units that a report adds to what was known or assumed of the peer; negative if too much was assumed. */
    record Change(double requested, double net) {}

    /**
     * Applies a report.
     *
     * @param seconds averaging time of the rate
     */
    Change apply(TeamUsage report, double seconds, Instant now) {
        boolean restarted = report.admitted() < last.admitted()
                || report.requested() < last.requested()
                || report.refunded() < last.refunded();
        double requested = restarted ? report.requested() : report.requested() - last.requested();
        double net = restarted ? report.net() : report.net() - last.net();
        active = requested > 0;
        rate.add(Math.max(0, net), seconds, now);
        double corrected = restarted ? 0 : assumed;
        assumed = 0;
        last = report;
        lastAt = now;
        return new Change(requested - corrected, net - corrected);
    }

    /** Returns what the peer is assumed to have admitted since this was last asked. */
    double assume(double seconds, Instant now) {
        if (!active || !now.isAfter(lastAt.plus(USUAL_AGE))) {
            return 0;
        }
        Instant until = lastAt.plus(MAXIMUM_AGE).isBefore(now) ? lastAt.plus(MAXIMUM_AGE) : now;
        double before = assumed;
        assumed = rate.perSecond(seconds, lastAt) * Seconds.between(lastAt, until);
        return assumed - before;
    }
}
