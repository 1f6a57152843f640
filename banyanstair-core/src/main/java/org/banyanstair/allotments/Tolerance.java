package org.banyanstair.allotments;

import org.banyanstair.teams.Allotment;
import org.banyanstair.teams.TeamSettings;

/**
 * Units by which the use of an allotment may exceed it in a window, and how they are divided among the reasons for an
 * excess.
 */
final class Tolerance {
    /** Part for requests that arrive in lumps; the rest is for what arrives before reports do. */
    private static final double LUMP_PART = 0.75;

    /** The same while some hosts are not reached, whose use is unknown. */
    private static final double LUMP_PART_WHEN_DIVIDED = 0.5;

    /**
     * Part for hosts that do not reach a majority. They are less than half of the hosts, so that they use less
     * than a fifth of the excess.
     */
    private static final double ISOLATED_PART = 0.35;

    /** Part of the rate that isolated hosts have at least, where the operator has specified no excess. */
    private static final double MINIMUM_ISOLATED_RATE = 0.05;

    /**
     * Requests that arrive in lumps which a team below its limit may have outstanding: with Poisson arrivals at 0.8 of
     * the limit, fewer than one in 500 requests finds more.
     */
    private static final double LUMPS = 16;

    /** Large requests that hosts may admit before each other's reports arrive. */
    private static final double LUMPS_IN_TRANSIT = 2;

    /** Delay of reports over relays, in seconds. */
    private static final double REPORT_DELAY = 0.3;

    /** Largest demand for which the bound must hold, as a multiple of the rate: 7.5 times a usual demand of 1 / 1.8. */
    private static final double LARGEST_DEMAND = 4.2;

    /** Part of the excess that may be used up before hosts keep to their shares. */
    private static final double UNSHARED_PART = 0.55;

    private final Allotment allotment;
    private final TeamSettings settings;

    Tolerance(Allotment allotment, TeamSettings settings) {
        this.allotment = allotment;
        this.settings = settings;
    }

    private double windowSeconds() {
        return Math.max(1, Seconds.of(settings.allotmentWindow()));
    }

    /** Returns the units by which the use in a window may exceed rate times window and burst. */
    double excess() {
        return settings.allotmentExcess() * (allotment.perSecond() * windowSeconds() + allotment.burst())
                + settings.allotmentSlack();
    }

    /** Returns the level that a restarted host assumes: as low as the others may have been before the restart. */
    double startLevel() {
        return Math.min(0, -LUMP_PART * excess());
    }

    /** Returns the level below which no debt is remembered; more can only be an error of this host. */
    double lowestLevel() {
        return -Math.max(excess(), allotment.burst());
    }

    /**
     * Returns the level above which a request is admitted.
     *
     * @param largest units of the largest recent request
     * @param demand requested units a second of all hosts
     */
    double admissionLevel(double largest, double demand, boolean complete) {
        double unreported = Math.max(0, demand - allotment.perSecond()) * REPORT_DELAY;
        return Math.min(0, unreported - lumps(largest, complete));
    }

    private double lumps(double largest, boolean complete) {
        double part = complete ? LUMP_PART : LUMP_PART_WHEN_DIVIDED;
        return Math.max(0, Math.min(LUMPS * largest - allotment.burst(), part * excess()));
    }

    /** Returns the level below which hosts keep to their shares, so that the reports of a burst arrive in time. */
    double sharingLevel(double largest, boolean complete) {
        double overshoot = (LARGEST_DEMAND - 1) * REPORT_DELAY + (TeamAllotment.SHARED_RATE - 1) * REPORT_DELAY;
        double level = Math.min(allotment.burst() / 2, overshoot * allotment.perSecond() - UNSHARED_PART * excess());
        double lumps = lumps(largest, complete);
        return lumps > 0 ? Math.min(level, LUMPS_IN_TRANSIT * largest - lumps) : level;
    }

    /** Returns the units a second of a host without a majority, which is the given part of all hosts. */
    double isolatedRate(double hostShare) {
        double rate = ISOLATED_PART * excess() / windowSeconds();
        return hostShare
                * Math.min(allotment.perSecond(), Math.max(rate, MINIMUM_ISOLATED_RATE * allotment.perSecond()));
    }
}
