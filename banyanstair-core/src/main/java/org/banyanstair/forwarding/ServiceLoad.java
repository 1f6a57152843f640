package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.fairness.FairOrder;
import org.banyanstair.fairness.FairShares;
import org.banyanstair.fairness.RateAverage;
import org.banyanstair.fairness.RetrySpread;
import org.banyanstair.fairness.ShareCredit;
import org.banyanstair.fairness.SlotPacer;
import org.banyanstair.teams.TeamName;

/** What this host knows of the load of one service, and its requests that wait for a slot. Not thread-safe. */
final class ServiceLoad {
    /** Time for which a service still counts as full; longer than the usage reports of a large deployment take. */
    private static final Duration FULL_RETENTION = Duration.ofSeconds(1);

    /** Weight of a new value in the averages of run times and costs. */
    private static final double RUN_WEIGHT = 0.1;

    /** Time constant of the part of time in which requests wait; short against the objectives. */
    private static final double WAITING_SECONDS = 0.2;

    /** Lower limit of that part; bounds what hosts send too much when requests start to wait on all of them at once. */
    private static final double LEAST_WAITING_PART = 0.2;

    /** Time constant of averages of what reports say; they vary by chance, and late ones also by what hosts do at once. */
    private static final double SMOOTHING_SECONDS = 1;

    final FairOrder order = new FairOrder();
    final SlotPacer pacer = new SlotPacer();
    final RetrySpread spread;
    final Map<Long, InFlightRequest> held = new LinkedHashMap<>();
    final Map<TeamName, ShareCredit> credits = new HashMap<>();
    final Map<TeamName, RateAverage> refused = new HashMap<>();
    Map<TeamName, Double> shares = Map.of();
    private double throughputPerWeight = 1;
    Instant nextSharesAt = Instant.MIN;
    long refusedByShare;
    private double runMilliseconds;
    private double tokens;
    private double capacity;
    private Instant capacityAt = Instant.MIN;
    private double averageFree;
    private Instant averageFreeAt = Instant.MIN;
    private double waitingPart;
    private Instant waitingPartAt = Instant.MIN;
    private Optional<Instant> fullSince = Optional.empty();
    private Instant lastFullAt = Instant.MIN;
    private int mostUrgentRank = Integer.MAX_VALUE;

    ServiceLoad(long seed) {
        spread = new RetrySpread(seed);
    }

    /** Records the time that an attempt took, and what it cost. */
    void recordRun(Duration time, double cost) {
        double milliseconds = Math.max(1, time.toNanos() / 1e6);
        boolean first = runMilliseconds == 0;
        runMilliseconds += (first ? 1 : RUN_WEIGHT) * (milliseconds - runMilliseconds);
        tokens += (first ? 1 : RUN_WEIGHT) * (cost - tokens);
    }

    boolean hasRun() {
        return runMilliseconds > 0;
    }

    double runMilliseconds() {
        return runMilliseconds;
    }

    /** Returns the mean tokens of a request. */
    double tokens() {
        return tokens;
    }

    /** Returns how many requests a number of slots serves in a second; 0 if unknown. */
    double requestsPerSecond(int slots) {
        return hasRun() ? slots * 1000.0 / runMilliseconds : 0;
    }

    /**
     * Returns the tokens a second that the service can serve; 0 if unknown.
     *
     * @param concurrency requests that run at once when the service is full
     */
    double capacity(int concurrency, Instant now) {
        double current = requestsPerSecond(concurrency) * tokens;
        if (capacityAt.equals(Instant.MIN)) {
            capacity = current;
        } else {
            capacity += weightOfNew(capacityAt, now) * (current - capacity);
        }
        capacityAt = now;
        return capacity;
    }

    private static double weightOfNew(Instant before, Instant now) {
        return 1 - Math.exp(-Duration.between(before, now).toNanos() / (1e9 * SMOOTHING_SECONDS));
    }

    /** Returns the moving average of the free slots. */
    double averageFree(int free, Instant now) {
        averageFree = averageFreeAt.equals(Instant.MIN)
                ? free
                : averageFree + weightOfNew(averageFreeAt, now) * (free - averageFree);
        averageFreeAt = now;
        return averageFree;
    }

    void recordRank(int rank) {
        mostUrgentRank = Math.min(mostUrgentRank, rank);
    }

    int mostUrgentRank() {
        return mostUrgentRank;
    }

    /**
     * Returns the part of time in which requests wait on this host, which by symmetry is the part of hosts on which
     * requests wait.
     */
    double waitingPart(Instant now) {
        if (waitingPartAt.isBefore(now)) {
            if (!waitingPartAt.equals(Instant.MIN)) {
                double kept = Math.exp(-Duration.between(waitingPartAt, now).toNanos() / (1e9 * WAITING_SECONDS));
                waitingPart = waitingPart * kept + (held.isEmpty() ? 0 : 1 - kept);
            }
            waitingPartAt = now;
        }
        return Math.max(LEAST_WAITING_PART, waitingPart);
    }

    /** Records that a new request would wait too long; returns whether the service was not full before. */
    boolean markFull(Instant now) {
        lastFullAt = now;
        boolean begins = fullSince.isEmpty();
        if (begins) {
            fullSince = Optional.of(now);
            refusedByShare = 0;
        }
        return begins;
    }

    /** Keeps the service full while more is requested than it serves, also when nothing waits because of the shares. */
    void stayFull(Instant now) {
        lastFullAt = now;
    }

    boolean isFull() {
        return fullSince.isPresent();
    }

    /** Returns since when the service was full, if that ends now; empty otherwise. */
    Optional<Instant> endFull(Instant now) {
        if (fullSince.isEmpty() || now.isBefore(lastFullAt.plus(FULL_RETENTION))) {
            return Optional.empty();
        }
        Optional<Instant> ended = fullSince;
        fullSince = Optional.empty();
        shares = Map.of();
        nextSharesAt = Instant.MIN;
        credits.clear();
        return ended;
    }

    /**
     * Returns the weight of a team: its share while that is known, which includes the lower limit of shares, and at least
     * its part of the throughput by its own weight. The share of a team that gets its demand says nothing about what it
     * may use.
     */
    double weight(TeamName team, double weight) {
        return shares.isEmpty() ? weight : Math.max(shares.getOrDefault(team, 0.0), weight * throughputPerWeight);
    }

    /** Divides the throughput among the teams. */
    void divide(double throughput, Map<TeamName, FairShares.Claim> claims) {
        shares = FairShares.divide(throughput, claims);
        double total =
                claims.values().stream().mapToDouble(FairShares.Claim::weight).sum();
        throughputPerWeight = total > 0 ? throughput / total : 1;
    }
}
