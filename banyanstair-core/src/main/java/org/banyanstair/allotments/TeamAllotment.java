package org.banyanstair.allotments;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

import org.banyanstair.model.HostId;
import org.banyanstair.peer.TeamUsage;
import org.banyanstair.teams.Allotment;
import org.banyanstair.teams.TeamName;
import org.banyanstair.teams.TeamSettings;

/** The allotment of a team, as far as this host knows its use by all hosts. Not thread-safe. */
final class TeamAllotment {
    /**
     * What all hosts admit together while they keep to their shares, as a multiple of the rate; above 1 because the
     * demand of other hosts is known late, and what they leave unused must be usable.
     */
    static final double SHARED_RATE = 1.5;

    /** Averaging time of the demand, in requests at the rate of the team, so that single requests do not count as demand. */
    private static final double DEMAND_REQUESTS = 8;

    private static final double SHORTEST_DEMAND_SECONDS = 0.25;

    private static final double LONGEST_DEMAND_SECONDS = 2;

    /** Averaging time of the share that is shown to operators. */
    private static final double SHARE_SECONDS = 2;

    /** Time for which the largest request is remembered. */
    private static final Duration LARGEST_RETENTION = Duration.ofSeconds(30);

    /** Time without requests after which an isolated host counts as having had no demand. */
    private static final Duration ISOLATED_DEMAND_RETENTION = Duration.ofSeconds(2);

    /** Longest time that a refused request is asked to stay away; the demand is not predictable further ahead. */
    private static final double LONGEST_RETURN_SECONDS = 10;

    private final TeamName team;
    private final TeamSettings settings;
    private final Map<HostId, PeerUse> peers = new HashMap<>();
    private final RateEstimator demand = new RateEstimator();
    private final RateEstimator shownDemand = new RateEstimator();
    private final RateEstimator shownOwnDemand = new RateEstimator();
    private Allotment allotment;
    private Tolerance tolerance;
    private double level;
    private double isolatedLevel;
    private double refusedUnits;
    private final double phase;
    private double shareCredit;
    private Instant isolatedDemandUntil = Instant.MIN;
    private double largest;
    private Instant largestAt = Instant.MIN;
    private Instant refilledUntil;
    private long admittedSinceResync;
    private long admitted;
    private long refunded;
    private long requested;
    private long requestedRequests;
    private long admittedRequests;
    private long refusedRequests;
    private boolean changed;
    private boolean reportsAgain;

    /**
     * Creates the allotment of a team.
     *
     * @param full whether the burst is available, because the team had no limit before
     * @param phase 0 to 1, different on each host, so that hosts with few requests do not all admit their first one
     */
    TeamAllotment(TeamName team, Allotment allotment, TeamSettings settings, boolean full, double phase, Instant now) {
        this.team = team;
        this.settings = settings;
        this.phase = phase;
        this.shareCredit = phase;
        this.refilledUntil = now;
        this.allotment = allotment;
        this.tolerance = new Tolerance(allotment, settings);
        this.level = full ? allotment.burst() : tolerance.startLevel();
    }

    Allotment allotment() {
        return allotment;
    }

    /** Applies a changed limit; one that is lowered takes effect on what is left at once. */
    void change(Allotment newAllotment, Standing standing, Instant now) {
        refill(standing, now);
        allotment = newAllotment;
        tolerance = new Tolerance(newAllotment, settings);
        level = Math.max(Math.min(level, newAllotment.burst()), tolerance.lowestLevel());
    }

    /** Starts again without knowledge of the use by other hosts. */
    void resync(Standing standing, Instant now) {
        refill(standing, now);
        level = Math.min(level, tolerance.startLevel());
        admittedSinceResync = 0;
        changed = true;
    }

    private void refill(Standing standing, Instant now) {
        double seconds = Seconds.between(refilledUntil, now);
        if (seconds > 0) {
            refilledUntil = now;
            level = Math.min(allotment.burst(), level + allotment.perSecond() * seconds);
            refusedUnits = Math.max(0, refusedUnits - allotment.perSecond() * seconds);
            isolatedLevel = Math.min(0, isolatedLevel + tolerance.isolatedRate(standing.hostShare()) * seconds);
        }
    }

    private double demandSeconds() {
        double seconds = DEMAND_REQUESTS * largest / allotment.perSecond();
        return Math.max(SHORTEST_DEMAND_SECONDS, Math.min(LONGEST_DEMAND_SECONDS, seconds));
    }

    private void recordSize(double cost, Instant now) {
        if (cost >= largest || now.isAfter(largestAt.plus(LARGEST_RETENTION))) {
            largest = cost;
            largestAt = now;
        }
    }

    /** Counts the use by peers whose reports are overdue. */
    void assumeUse(Standing standing, Instant now) {
        refill(standing, now);
        for (PeerUse peer : peers.values()) {
            double assumed = peer.assume(demandSeconds(), now);
            if (assumed > 0) {
                debit(assumed);
                recordDemand(assumed, now);
            }
        }
    }

    /** Charges a request, or says when its caller should return. */
    ChargeResult charge(double cost, Standing standing, Instant now) {
        refill(standing, now);
        recordSize(cost, now);
        requested += Math.round(cost);
        requestedRequests++;
        changed = true;
        recordDemand(cost, now);
        shownOwnDemand.add(cost, SHARE_SECONDS, now);
        if (standing.connected() ? isWithinAllotment(standing, now) : isWithinIsolatedPart(now)) {
            debit(cost);
            isolatedLevel -= standing.connected() ? 0 : cost;
            admitted += Math.round(cost);
            admittedSinceResync += Math.round(cost);
            admittedRequests++;
            return ChargeResult.ADMITTED;
        }
        refusedRequests++;
        recordRefused(cost);
        return refusal(cost, standing, now);
    }

    private void recordDemand(double units, Instant now) {
        demand.add(units, demandSeconds(), now);
        shownDemand.add(units, SHARE_SECONDS, now);
    }

    private void recordRefused(double units) {
        refusedUnits = Math.min(LONGEST_RETURN_SECONDS * allotment.perSecond(), refusedUnits + units);
    }

    private void debit(double units) {
        level = Math.max(tolerance.lowestLevel(), Math.min(allotment.burst(), level - units));
    }

    private boolean isWithinAllotment(Standing standing, Instant now) {
        double demanded = demand.perSecond(demandSeconds(), now);
        if (level <= tolerance.admissionLevel(largest, demanded, standing.complete())) {
            return false;
        }
        double shared = SHARED_RATE * allotment.perSecond();
        if (level > tolerance.sharingLevel(largest, standing.complete()) || demanded <= shared) {
            return true;
        }
        // Admitting this part of its own requests gives each host its share by demand, however few and large they are.
        shareCredit += shared / demanded;
        if (shareCredit < 1) {
            return false;
        }
        shareCredit -= 1;
        return true;
    }

    /**
     * The part of a single host is small compared to a request, so each one may have a debt of one. After a time without
     * requests it waits for a part of that debt first, so that many isolated hosts do not all admit one at once.
     */
    private boolean isWithinIsolatedPart(Instant now) {
        if (now.isAfter(isolatedDemandUntil)) {
            isolatedLevel = Math.min(isolatedLevel, -phase * largest);
        }
        isolatedDemandUntil = now.plus(ISOLATED_DEMAND_RETENTION);
        return isolatedLevel >= 0;
    }

    private ChargeResult refusal(double cost, Standing standing, Instant now) {
        double missing = standing.connected()
                ? tolerance.admissionLevel(largest, demand.perSecond(demandSeconds(), now), standing.complete()) - level
                : -isolatedLevel;
        double rate = standing.connected() ? allotment.perSecond() : tolerance.isolatedRate(standing.hostShare());
        double wait = Math.min(LONGEST_RETURN_SECONDS, Math.max(0, missing + cost) / rate);
        return new ChargeResult(
                false, Seconds.toDuration(wait), Seconds.toDuration(refusedUnits / allotment.perSecond()));
    }

    /** Gives back what a request was charged that has not run. */
    void refund(double cost, Standing standing, Instant now) {
        refill(standing, now);
        debit(-cost);
        isolatedLevel += standing.connected() ? 0 : cost;
        refunded += Math.round(cost);
        admittedSinceResync -= Math.round(cost);
        changed = true;
    }

    /**
     * Applies the counters of a peer.
     *
     * @param startsAtZero whether a peer without an earlier report has begun to count since this host runs
     * @param adoptsLevel whether this host's own level may miss what happened before it started
     */
    void apply(
            HostId sender,
            TeamUsage report,
            boolean startsAtZero,
            boolean adoptsLevel,
            Standing standing,
            Instant now) {
        refill(standing, now);
        recordSize(report.largest(), now);
        PeerUse peer = peers.get(sender);
        if (peer == null && !startsAtZero) {
            peers.put(sender, new PeerUse(report, now));
        } else {
            if (peer == null) {
                TeamUsage none = new TeamUsage(team, 0, 0, 0, 0, OptionalDouble.empty());
                peer = new PeerUse(none, now);
                peers.put(sender, peer);
            }
            PeerUse.Change change = peer.apply(report, demandSeconds(), now);
            debit(change.net());
            if (change.requested() > 0) {
                recordDemand(change.requested(), now);
                recordRefused(Math.max(0, change.requested() - change.net()));
            }
        }
        if (adoptsLevel && report.level().isPresent()) {
            double known = Math.min(allotment.burst(), report.level().getAsDouble() - admittedSinceResync);
            level = Math.max(level, known);
        }
    }

    boolean hasChanged() {
        return changed || reportsAgain;
    }

    /**
     * Returns the counters for the peers.
     *
     * @param settled whether others may adopt the level of this host
     */
    TeamUsage report(Standing standing, boolean settled, Instant now) {
        refill(standing, now);
        reportsAgain = changed;
        changed = false;
        OptionalDouble known =
                standing.connected() && settled ? OptionalDouble.of(Math.rint(level)) : OptionalDouble.empty();
        return new TeamUsage(team, admitted, refunded, requested, Math.round(largest), known);
    }

    TeamUse use(Standing standing, Instant now) {
        refill(standing, now);
        double all = shownDemand.perSecond(SHARE_SECONDS, now);
        double own = shownOwnDemand.perSecond(SHARE_SECONDS, now);
        return new TeamUse(
                team,
                allotment,
                requestedRequests,
                admittedRequests,
                refusedRequests,
                admitted - refunded,
                all == 0 ? 0 : Math.min(1, own / all),
                level);
    }
}
