package org.banyanstair.locality;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides which share of a host's requests to one service may leave its data centre, and to which others.
 *
 * <p>The share rises slowly while requests would start later at home by an upper threshold, falls quickly below a lower
 * one, and stays in between. It never exceeds the share with which all data centres would be equally utilized, so only
 * those above the common utilization send, and only to those below it. Reads no clock. Not thread-safe.
 */
public final class LocalityPolicy {
    /**
     * Share of the objective by which a start at home must be later for the share to rise: that of a full plain endpoint
     * beside an idle one.
     */
    private static final double UPPER_OBJECTIVE_SHARE = 0.25;

    /** Share of the objective below which the share falls. */
    private static final double LOWER_OBJECTIVE_SHARE = 0.1;

    /** Time for which a start at home must be later before the share rises; a short burst is over by then. */
    private static final Duration SHORTAGE_TIME = Duration.ofMillis(200);

    /** Rise of the share in a second; half of the requests may leave within a second of the begin of a shortage. */
    private static final double RISE_PER_SECOND = 1.5;

    /** Time in which the share falls to 1/e. */
    private static final double FALL_SECONDS = 0.1;

    /** Share below which nothing leaves, so that the fall ends. */
    private static final double MINIMUM_SHARE = 0.01;

    /** Time constant of the smoothing; usage reports arrive every 30 to 100 ms. */
    private static final double SMOOTHING_SECONDS = 0.15;

    /** Age above which earlier values are dropped instead of smoothed. */
    private static final Duration MAXIMUM_AGE = Duration.ofSeconds(1);

    private final String home;
    private final double longerWayMilliseconds;
    private final Map<String, Smoothed> known = new HashMap<>();
    private final Map<String, Double> room = new TreeMap<>();
    private Instant updatedAt = Instant.MIN;
    private Instant shortSince = Instant.MAX;
    private double share;

    private static final class Smoothed {
        private Optional<Double> start = Optional.empty();
        private double demand;
        private Instant updatedAt;
    }

    /** Creates the policy of a host for one service; nothing leaves until loads are known. */
    public LocalityPolicy(String home, LocalitySettings settings) {
        this.home = home;
        this.longerWayMilliseconds = settings.longerWay().toMillis();
    }

    /**
     * Applies the loads of all data centres of the service.
     *
     * @param objective time in which a request of the service should start
     * @param now not before that of the previous call
     */
    public void update(Collection<DataCentreLoad> loads, Duration objective, Instant now) {
        double seconds = updatedAt.equals(Instant.MIN)
                ? 0
                : Duration.between(updatedAt, now).toNanos() / 1e9;
        if (seconds > MAXIMUM_AGE.toSeconds()) {
            share = 0;
            seconds = 0;
            shortSince = Instant.MAX;
        }
        updatedAt = now;
        known.keySet().retainAll(loads.stream().map(DataCentreLoad::dataCentre).toList());
        double totalDemand = 0;
        double totalCapacity = 0;
        for (DataCentreLoad load : loads) {
            Smoothed smoothed = smooth(load, now);
            if (isUsed(load)) {
                totalDemand += smoothed.demand;
                totalCapacity += load.capacity();
            }
        }
        double utilization = totalCapacity > 0 ? totalDemand / totalCapacity : 0;
        double bound = 0;
        double elsewhere = 0;
        double weight = 0;
        double homeStart = Double.MAX_VALUE;
        room.clear();
        for (DataCentreLoad load : loads) {
            Smoothed smoothed = known.get(load.dataCentre());
            double excess = smoothed.demand - utilization * load.capacity();
            if (load.dataCentre().equals(home)) {
                bound = smoothed.demand > 0 ? Math.max(0, excess) / smoothed.demand : 0;
                homeStart = smoothed.start.orElse(Double.MAX_VALUE);
            } else if (isUsed(load) && excess < 0 && smoothed.start.isPresent()) {
                room.put(load.dataCentre(), -excess);
                elsewhere += -excess * smoothed.start.get();
                weight += -excess;
            }
        }
        if (weight == 0) {
            share = 0;
            shortSince = Instant.MAX;
            return;
        }
        double later = homeStart - elsewhere / weight - longerWayMilliseconds;
        double upper = upperThreshold(objective);
        double lower = objective.toMillis() * LOWER_OBJECTIVE_SHARE;
        boolean isShort = later > upper;
        shortSince = isShort && shortSince.isBefore(now) ? shortSince : isShort ? now : Instant.MAX;
        if (homeStart == Double.MAX_VALUE) {
            share = 1;
        } else if (isShort) {
            share += now.isBefore(shortSince.plus(SHORTAGE_TIME)) ? 0 : seconds * RISE_PER_SECOND;
        } else if (later < lower) {
            share *= Math.exp(-seconds / FALL_SECONDS);
            share = share < MINIMUM_SHARE ? 0 : share;
        }
        share = Math.min(share, bound);
    }

    /** Returns how much later, in milliseconds, a start at home must be to count as a shortage. */
    public static double upperThreshold(Duration objective) {
        return objective.toMillis() * UPPER_OBJECTIVE_SHARE;
    }

    private boolean isUsed(DataCentreLoad load) {
        return load.current() || load.dataCentre().equals(home);
    }

    private Smoothed smooth(DataCentreLoad load, Instant now) {
        Smoothed smoothed = known.computeIfAbsent(load.dataCentre(), name -> new Smoothed());
        Duration age = smoothed.updatedAt == null ? MAXIMUM_AGE : Duration.between(smoothed.updatedAt, now);
        boolean tooOld = age.compareTo(MAXIMUM_AGE) >= 0;
        double fresh = tooOld ? 1 : 1 - Math.exp(-age.toNanos() / 1e9 / SMOOTHING_SECONDS);
        smoothed.demand += fresh * (load.demand() - smoothed.demand);
        smoothed.start = load.startMilliseconds().isEmpty()
                ? Optional.empty()
                : Optional.of(smoothed.start
                        .map(older -> older + fresh * (load.startMilliseconds().getAsDouble() - older))
                        .orElse(load.startMilliseconds().getAsDouble()));
        smoothed.updatedAt = now;
        return smoothed;
    }

    /** Returns the share of requests that may leave, from 0 to 1. */
    public double share() {
        return share;
    }

    /**
     * Returns whether a request may leave for want of capacity at home.
     *
     * @param point a random value from 0 to 1, 1 excluded
     */
    public boolean mayLeave(double point) {
        return point < share;
    }

    /**
     * Returns another data centre, each with a probability in proportion to its room; empty if none has room.
     *
     * @param point a random value from 0 to 1, 1 excluded
     */
    public Optional<String> destination(double point) {
        double remaining =
                point * room.values().stream().mapToDouble(Double::doubleValue).sum();
        String last = null;
        for (Map.Entry<String, Double> entry : room.entrySet()) {
            last = entry.getKey();
            remaining -= entry.getValue();
            if (remaining < 0) {
                break;
            }
        }
        return Optional.ofNullable(last);
    }
}
