package org.banyanstair.fairness;

import java.time.Instant;
import java.util.Map;

import org.banyanstair.teams.TeamName;

/** Source of what the teams request of the services over all hosts. */
@FunctionalInterface
public interface TeamDemand {
    /** Returns the tokens a second that each team with recent requests asks of a service on all hosts together. */
    Map<TeamName, Double> tokensPerSecond(String service, Instant now);

    /** Returns the part of that rate that was counted, from 0 to 1; the rest is extrapolated. */
    default double countedPart() {
        return 1;
    }
}
