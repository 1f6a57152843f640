package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.Map;

import org.banyanstair.teams.TeamName;

/**
 * How the requests of teams are admitted to services, for metrics; empty in a deployment without teams.
 *
 * @param fullServices number of services that are full
 */
public record AdmissionStatus(int fullServices, Map<TeamName, TeamStatus> teams) {
    /** Copies the map. */
    public AdmissionStatus {
        teams = Map.copyOf(teams);
    }

    /**
     * Counts of a team on this host since it started.
     *
     * @param requests requests that were to be admitted to a service
     * @param refusedByShare requests refused because the service was full and the team had had its share
     * @param refusedOverloaded requests refused because they could not be served in time
     * @param waited time for which requests waited on this host until their first attempt
     */
    public record TeamStatus(long requests, long refusedByShare, long refusedOverloaded, Duration waited) {}
}
