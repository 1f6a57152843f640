package org.banyanstair.fairness;

import java.time.Instant;

import org.banyanstair.teams.TeamName;

/**
 * A request that waits on this host.
 *
 * @param rank urgency, 0 is the most urgent
 * @param weight weight of its team relative to the others, above 0
 * @param tokens cost, above 0
 * @param latestStart when it has to start to be in time
 */
public record WaitingTurn<T>(T request, int rank, TeamName team, double weight, double tokens, Instant latestStart) {
    /** Checks the ranges. */
    public WaitingTurn {
        if (!(weight > 0) || !(tokens > 0)) {
            throw new IllegalArgumentException("invalid turn: weight " + weight + ", tokens " + tokens);
        }
    }
}
