package org.banyanstair.fairness;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.teams.Allotment;
import org.banyanstair.teams.AllotmentUnit;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamName;
import org.banyanstair.teams.TeamTable;

/** Weights of teams and costs of their requests; immutable. */
public final class TeamWeights {
    /** Stands for the callers of routes that need no key. */
    public static final TeamName NO_TEAM = new TeamName("-");

    private final Map<TeamName, Double> weights = new HashMap<>();
    private final double otherWeight;
    private final double plainTokens;

    /**
     * Derives the weights from the allotments.
     *
     * <p>Rates in different units cannot be compared, so teams have equal weights unless all allotments are in tokens.
     */
    public TeamWeights(TeamTable teams) {
        List<Allotment> allotments = teams.all().stream()
                .map(Team::allotment)
                .flatMap(Optional::stream)
                .toList();
        boolean comparable = allotments.stream().allMatch(allotment -> allotment.unit() == AllotmentUnit.TOKENS);
        if (comparable) {
            teams.all().forEach(team -> team.allotment()
                    .ifPresent(allotment -> weights.put(team.name(), allotment.perSecond())));
        }
        otherWeight = weights.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(1);
        plainTokens = allotments.stream()
                .mapToDouble(Allotment::plainTokens)
                .filter(tokens -> tokens > 0)
                .average()
                .orElse(1);
    }

    /** Returns the weight of a team; the mean for one without an allotment. */
    public double weight(TeamName team) {
        return weights.getOrDefault(team, otherWeight);
    }

    /**
     * Returns the tokens that a request counts, above 0.
     *
     * @param inputTokens length of the prompt; 0 with no output tokens stands for a request without a token count
     * @param outputTokens maximum number of generated tokens
     */
    public double tokens(int inputTokens, int outputTokens) {
        long tokens = (long) inputTokens + outputTokens;
        return tokens > 0 ? tokens : plainTokens;
    }
}
