package org.banyanstair.fairness;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.banyanstair.teams.TeamName;

/** Divides the retries of a service among the teams that need some. Not thread-safe. */
public final class RetryShares {
    /** Window of the retry budget. */
    private static final Duration WINDOW = Duration.ofSeconds(10);

    /** Part of the budget that teams may use beyond their share; the rest is kept for those within theirs. */
    private static final double COMMON_PART = 0.75;

    private final Map<TeamName, Instant> lastAsked = new HashMap<>();
    private final Deque<Retry> retries = new ArrayDeque<>();

    private record Retry(TeamName team, Instant at) {}

    /** Counts a retry of a team. */
    public void recordRetry(TeamName team, Instant now) {
        retries.addLast(new Retry(team, now));
    }

    /**
     * Returns whether a team may retry: it is within its share, or all together leave enough for the others.
     *
     * @param budget retries of all teams in the window
     */
    public boolean allows(TeamName team, double budget, ToDoubleFunction<TeamName> weights, Instant now) {
        Instant start = now.minus(WINDOW);
        lastAsked.values().removeIf(at -> at.isBefore(start));
        while (!retries.isEmpty() && retries.peekFirst().at().isBefore(start)) {
            retries.removeFirst();
        }
        lastAsked.put(team, now);
        double total = lastAsked.keySet().stream().mapToDouble(weights).sum();
        long used = retries.stream().filter(retry -> retry.team().equals(team)).count();
        return used + 1 <= Math.max(1, budget * weights.applyAsDouble(team) / total)
                || retries.size() + 1 <= COMMON_PART * budget;
    }
}
