package org.banyanstair.fairness;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntSupplier;

import org.banyanstair.teams.TeamName;

/** Measures what the teams request of the services on this host. Not thread-safe. */
public final class LocalTeamDemand implements TeamDemand {
    /** Rate in tokens a second below which a team has no recent requests. */
    private static final double MINIMUM_RATE = 0.01;

    private final Map<String, Map<TeamName, RateAverage>> averages = new HashMap<>();

    /** Counts a request of this host's callers. */
    public void record(String service, TeamName team, double tokens, Instant now) {
        averages.computeIfAbsent(service, name -> new TreeMap<>())
                .computeIfAbsent(team, name -> new RateAverage())
                .record(tokens, now);
    }

    @Override
    public Map<TeamName, Double> tokensPerSecond(String service, Instant now) {
        Map<TeamName, RateAverage> known = averages.getOrDefault(service, Map.of());
        known.values().removeIf(average -> average.perSecond(now) < MINIMUM_RATE);
        Map<TeamName, Double> result = new TreeMap<>();
        known.forEach((team, average) -> result.put(team, average.perSecond(now)));
        return result;
    }

    /**
     * Returns an estimate for all hosts that assumes the same demand on each.
     *
     * @param hosts number of live hosts, this one included
     */
    public TeamDemand scaledBy(IntSupplier hosts) {
        return new TeamDemand() {
            @Override
            public Map<TeamName, Double> tokensPerSecond(String service, Instant now) {
                Map<TeamName, Double> result = LocalTeamDemand.this.tokensPerSecond(service, now);
                result.replaceAll((team, rate) -> rate * hosts.getAsInt());
                return result;
            }

            @Override
            public double countedPart() {
                return 1.0 / hosts.getAsInt();
            }
        };
    }
}
