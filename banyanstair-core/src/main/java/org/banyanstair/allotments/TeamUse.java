package org.banyanstair.allotments;

import org.banyanstair.teams.Allotment;
import org.banyanstair.teams.TeamName;

/**
 * What a team uses, for metrics; the counts are those of this host since its start, in units of the allotment.
 *
 * @param used units admitted and not given back
 * @param share part of the recent demand of all hosts that arrived at this one, 0 to 1
 * @param level units left for all hosts, negative for a debt
 */
public record TeamUse(
        TeamName team,
        Allotment allotment,
        long requestedRequests,
        long admittedRequests,
        long refusedRequests,
        long used,
        double share,
        double level) {}
